export { AllowanceLender, BorrowedAllowances, computeLoanSize } from './allowances.js';
export type { Loan } from './allowances.js';
export { computeWaitSeconds, refillBucket } from './token-bucket.js';
export type { BucketRate, TokenBucket } from './token-bucket.js';
