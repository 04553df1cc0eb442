export { AllowanceLender } from './allowance-lender.js';
export type { Loan } from './allowance-lender.js';
export { BorrowedAllowances, computeLoanSize } from './borrowed-allowances.js';
export { computeWaitSeconds, refillBucket } from './token-bucket.js';
export type { BucketRate, TokenBucket } from './token-bucket.js';
