/**
 * A retry budget that limits retries and hedges to a small share of the successes, so that they
 * cannot multiply a traffic spike. Each retry takes one token.
 */

export type RetryBudgetSettings = {
  /** Tokens added by each success. */
  readonly tokensPerSuccess: number;
  /** Maximum number of tokens; the budget starts with half of it. */
  readonly maxTokens: number;
};

export const DEFAULT_RETRY_BUDGET_SETTINGS: RetryBudgetSettings = {
  tokensPerSuccess: 0.1,
  maxTokens: 30,
};

export class RetryBudget {
  readonly #settings: RetryBudgetSettings;

  #tokens: number;

  constructor(settings: RetryBudgetSettings = DEFAULT_RETRY_BUDGET_SETTINGS) {
    this.#settings = settings;
    this.#tokens = settings.maxTokens / 2;
  }

  recordSuccess(): void {
    this.#tokens = Math.min(
      this.#settings.maxTokens,
      this.#tokens + this.#settings.tokensPerSuccess,
    );
  }

  /** Takes one token for a retry; returns false if none is left. */
  takeRetry(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
