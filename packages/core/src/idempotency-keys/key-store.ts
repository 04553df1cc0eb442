/**
 * Stores the outcome of each request that was sent with an idempotency key of this process. No
 * outcome is evicted before its key expires. A key that is neither stored nor expired has
 * therefore not run, so running its request is safe. When the store is full, new keys are refused.
 */
import { createRefusal, RequestError } from '../results/index.js';
import { Table } from '../tables/index.js';
import { parseKey } from './key-format.js';
import type { IssuedKey } from './key-format.js';

export type KeyStoreSettings = {
  readonly maxKeys: number;
  /** Limit on the size of all stored answers together. */
  readonly maxTotalAnswerBytes: number;
};

export const DEFAULT_KEY_STORE_SETTINGS: KeyStoreSettings = {
  maxKeys: 50_000,
  maxTotalAnswerBytes: 24 * 1024 * 1024,
};

/** How a request with a key ended: with an answer to repeat, or with an unknown outcome. */
export type Settlement<Answer> =
  | { readonly kind: 'answered'; readonly answer: Answer; readonly bytes: number }
  | { readonly kind: 'unknown'; readonly error: RequestError };

export type KeyRow<Answer> = {
  readonly id: string;
  /** Identifies the request that the key was first used for. */
  readonly fingerprint: string;
  /** Milliseconds on this process's monotonic clock. */
  readonly expiresAt: number;
  /** Missing while the request is running. */
  readonly settlement?: Settlement<Answer> | undefined;
};

/**
 * How to handle a request with a key: run it, wait for the run that has begun, or repeat the
 * stored outcome.
 */
export type KeyDecision<Answer> =
  | { readonly kind: 'run' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'repeat'; readonly settlement: Settlement<Answer> };

export type KeyOwner = Pick<IssuedKey, 'daemonId' | 'incarnation'>;

export class IdempotencyKeyStore<Answer> {
  readonly #rows = new Table<KeyRow<Answer>>();

  readonly #owner: KeyOwner;

  readonly #settings: KeyStoreSettings;

  #totalAnswerBytes = 0;

  constructor(owner: KeyOwner, settings: KeyStoreSettings) {
    this.#owner = owner;
    this.#settings = settings;
  }

  get size(): number {
    return this.#rows.size;
  }

  get totalAnswerBytes(): number {
    return this.#totalAnswerBytes;
  }

  /** Whether this process issued the key, so that no other process may run its request. */
  isOwnKey(key: IssuedKey): boolean {
    return key.daemonId === this.#owner.daemonId && key.incarnation === this.#owner.incarnation;
  }

  /**
   * Decides how to handle a request with a key of this process. Throws a refusal if the key
   * belongs to another request, if it has expired, or if the store is full.
   */
  begin(keyText: string, fingerprint: string, now: number): KeyDecision<Answer> {
    const known = this.#rows.get(keyText);
    if (known) return this.#checkKnown(known, fingerprint);
    const key = parseKey(keyText) as IssuedKey;
    if (key.expiresAt <= now) throw createRefusal('keyExpired');
    if (this.#isFull()) throw createRefusal('keysFull', { retryAfterSeconds: 1 });
    this.#rows.put({ id: keyText, fingerprint, expiresAt: key.expiresAt });
    return { kind: 'run' };
  }

  /** Stores how a request ended. If it did not run, the key is removed and may be used again. */
  settle(keyText: string, settlement: Settlement<Answer>): void {
    const row = this.#rows.get(keyText);
    if (!row || row.settlement) return;
    if (settlement.kind === 'unknown' && settlement.error.result.outcome === 'not-run') {
      this.#rows.remove(keyText);
      return;
    }
    if (settlement.kind === 'answered') this.#totalAnswerBytes += settlement.bytes;
    this.#rows.put({ ...row, settlement });
  }

  getSettlement(keyText: string): Settlement<Answer> | undefined {
    return this.#rows.get(keyText)?.settlement;
  }

  /** Evicts expired keys, except those whose requests are still running. */
  runTick(now: number): void {
    this.#rows
      .list()
      .filter((row) => row.expiresAt <= now && row.settlement)
      .forEach((row) => this.#evict(row));
  }

  #checkKnown(row: KeyRow<Answer>, fingerprint: string): KeyDecision<Answer> {
    if (row.fingerprint !== fingerprint) throw createRefusal('keyReused');
    if (row.settlement) return { kind: 'repeat', settlement: row.settlement };
    return { kind: 'wait' };
  }

  #isFull(): boolean {
    return (
      this.#rows.size >= this.#settings.maxKeys ||
      this.#totalAnswerBytes >= this.#settings.maxTotalAnswerBytes
    );
  }

  #evict(row: KeyRow<Answer>): void {
    if (row.settlement?.kind === 'answered') this.#totalAnswerBytes -= row.settlement.bytes;
    this.#rows.remove(row.id);
  }
}
