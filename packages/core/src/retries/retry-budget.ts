/**
 * Keeps retries and hedges a small share of the successes, so that they cannot multiply a wave.
 */

export type RetryBudgetSettings = {
  /** Retries earned by one success. */
  readonly earnedPerSuccess: number;
  readonly maxSaved: number;
};

export const DEFAULT_RETRY_BUDGET_SETTINGS: RetryBudgetSettings = {
  earnedPerSuccess: 0.1,
  maxSaved: 30,
};

export class RetryBudget {
  readonly #settings: RetryBudgetSettings;

  #saved: number;

  constructor(settings: RetryBudgetSettings = DEFAULT_RETRY_BUDGET_SETTINGS) {
    this.#settings = settings;
    this.#saved = settings.maxSaved / 2;
  }

  recordSuccess(): void {
    this.#saved = Math.min(this.#settings.maxSaved, this.#saved + this.#settings.earnedPerSuccess);
  }

  /** Takes one retry from the budget if there is one. */
  takeRetry(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
