export { AttemptError, canTryAgain, computeNextState, isEnded } from './attempt.js';
export type { AttemptEnd, AttemptEvent, AttemptState, OpenAttempt } from './attempt.js';
export { DEFAULT_RETRY_BUDGET_SETTINGS, RetryBudget } from './retry-budget.js';
export type { RetryBudgetSettings } from './retry-budget.js';
export { WindowAllowance } from './window-allowance.js';
export type { WindowAllowanceSettings } from './window-allowance.js';
