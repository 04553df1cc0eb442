/**
 * Keeps retries and hedges a small share of the successes, so that they cannot multiply a wave.
 */

export type RetryBudgetSettings = {
  /** Retries earned by one success. */
  readonly tokensPerSuccess: number;
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

  /** Takes one retry from the budget if there is one. */
  takeRetry(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
