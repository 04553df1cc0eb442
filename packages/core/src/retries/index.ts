export { AttemptError, canTryAgain, computeNextState, isEnded } from './attempt.js';
export type { AttemptEnd, AttemptEvent, AttemptState, OpenAttempt } from './attempt.js';
export { DEFAULT_RETRY_BUDGET_SETTINGS, RetryBudget } from './retry-budget.js';
export type { RetryBudgetSettings } from './retry-budget.js';
export { RetrySlackShares } from './retry-slack-shares.js';
export type { RetrySlackSharesPorts, SlackDispatcher } from './retry-slack-shares.js';
export { ShedPauses } from './shed-pauses.js';
export type { Shed } from './shed-pauses.js';
export { SlidingWindowRetryBudget } from './sliding-window-retry-budget.js';
export type {
  RetryClaim,
  SlidingWindowRetryBudgetSettings,
} from './sliding-window-retry-budget.js';
