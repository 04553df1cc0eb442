export { TokenLender } from './token-lender.js';
export type { Loan } from './token-lender.js';
export { BorrowedTokens, computeLoanSize } from './borrowed-tokens.js';
export { computeWaitSeconds, refillBucket } from './token-bucket.js';
export type { BucketRate, TokenBucket } from './token-bucket.js';
