/**
 * The quotas of the accounts that the configuration in force gives one.
 */
import { AccountQuota, hashText } from '@baobabline/core';
import type { ClientAccount, QuotaBounds } from '@baobabline/core';

export class QuotaTable {
  readonly #bounds: QuotaBounds;

  #quotas: ReadonlyMap<string, AccountQuota> = new Map();

  #byHash: ReadonlyMap<number, AccountQuota> = new Map();

  #hasConfiguration = false;

  constructor(bounds: QuotaBounds) {
    this.#bounds = bounds;
  }

  get isEmpty(): boolean {
    return this.#quotas.size === 0;
  }

  list(): readonly AccountQuota[] {
    return [...this.#quotas.values()];
  }

  find(accountName: string): AccountQuota | undefined {
    return this.#quotas.get(accountName);
  }

  findByHash(hash: number): AccountQuota | undefined {
    return this.#byHash.get(hash);
  }

  /** Applies the accounts of a configuration; what is known of accounts that it lacks is dropped. */
  setAccounts(accounts: readonly ClientAccount[], visiblePart: number, now: number): void {
    // A daemon that starts does not know what was used before its first configuration.
    const options = { bounds: this.#bounds, hash: hashText, isNew: this.#hasConfiguration };
    this.#hasConfiguration = true;
    const limited = accounts.filter(({ ratePerSecond }) => ratePerSecond !== undefined);
    const quotas = limited.map((account) => {
      const known = this.#quotas.get(account.name);
      known?.applyAccount(account, now);
      const quota = known ?? new AccountQuota(account, options, now);
      quota.setVisiblePart(visiblePart, now);
      return quota;
    });
    this.#quotas = new Map(quotas.map((quota) => [quota.name, quota]));
    this.#byHash = new Map(quotas.map((quota) => [hashText(quota.name), quota]));
  }
}
