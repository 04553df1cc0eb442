/**
 * Finds the client account of a key by the key's digest. The time of a lookup shows nothing of the
 * keys: whoever guesses a key cannot choose its digest.
 */
import type { ClientAccount } from './types.js';

export class AccountTable {
  readonly accounts: readonly ClientAccount[];

  readonly #byKeyDigest: ReadonlyMap<string, ClientAccount>;

  readonly #byName: ReadonlyMap<string, ClientAccount>;

  constructor(accounts: readonly ClientAccount[]) {
    this.accounts = accounts;
    this.#byKeyDigest = new Map(
      accounts.flatMap((account) => account.keyDigests.map((digest) => [digest, account] as const)),
    );
    this.#byName = new Map(accounts.map((account) => [account.name, account]));
  }

  findByKey(keyDigest: string): ClientAccount | undefined {
    return this.#byKeyDigest.get(keyDigest);
  }

  findByName(name: string): ClientAccount | undefined {
    return this.#byName.get(name);
  }
}
