/**
 * What became of the idempotency keys that this process issued. Nothing is forgotten before it
 * expires: a key that is not in the ledger and has not expired has not run, which is what makes a
 * first run safe. When the ledger is full, new keys are refused.
 */
import { createRefusal, RequestError } from '../results/index.js';
import { Table } from '../tables/index.js';
import { parseKey } from './key-format.js';
import type { IssuedKey } from './key-format.js';

export type KeyLedgerSettings = {
  readonly maxKeys: number;
  readonly maxAnswerBytes: number;
};

export const DEFAULT_KEY_LEDGER_SETTINGS: KeyLedgerSettings = {
  maxKeys: 50_000,
  maxAnswerBytes: 24 * 1024 * 1024,
};

/** A settled key: the answer to repeat, or the refusal whose outcome was unknown. */
export type Settlement<Answer> =
  | { readonly kind: 'answered'; readonly answer: Answer; readonly bytes: number }
  | { readonly kind: 'unknown'; readonly error: RequestError };

export type KeyRow<Answer> = {
  readonly id: string;
  /** Identifies the request that the key belongs to. */
  readonly fingerprint: string;
  readonly expiresAt: number;
  readonly settlement?: Settlement<Answer> | undefined;
};

/** What a daemon may do with a key that it received. */
export type KeyDecision<Answer> =
  | { readonly kind: 'run' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'repeat'; readonly settlement: Settlement<Answer> };

export type KeyOwner = Pick<IssuedKey, 'daemonId' | 'incarnation'>;

export class KeyLedger<Answer> {
  readonly #rows = new Table<KeyRow<Answer>>();

  readonly #owner: KeyOwner;

  readonly #settings: KeyLedgerSettings;

  #answerBytes = 0;

  constructor(owner: KeyOwner, settings: KeyLedgerSettings) {
    this.#owner = owner;
    this.#settings = settings;
  }

  get size(): number {
    return this.#rows.size;
  }

  get answerBytes(): number {
    return this.#answerBytes;
  }

  /** Whether this process alone may run the key. */
  isOwnKey(key: IssuedKey): boolean {
    return key.daemonId === this.#owner.daemonId && key.incarnation === this.#owner.incarnation;
  }

  /**
   * Decides on a request with a key of this process. Throws a refusal when the key belongs to
   * another request, has expired, or cannot be remembered.
   */
  begin(keyText: string, fingerprint: string, now: number): KeyDecision<Answer> {
    const known = this.#rows.get(keyText);
    if (known) return this.#judgeKnown(known, fingerprint);
    const key = parseKey(keyText) as IssuedKey;
    if (key.expiresAt <= now) throw createRefusal('keyExpired');
    if (this.#isFull()) throw createRefusal('keysFull', { retryAfterSeconds: 1 });
    this.#rows.put({ id: keyText, fingerprint, expiresAt: key.expiresAt });
    return { kind: 'run' };
  }

  /** Records what became of a key. A request that provably did not run may be sent again. */
  settle(keyText: string, settlement: Settlement<Answer>): void {
    const row = this.#rows.get(keyText);
    if (!row || row.settlement) return;
    if (settlement.kind === 'unknown' && settlement.error.result.outcome === 'not-run') {
      this.#rows.remove(keyText);
      return;
    }
    if (settlement.kind === 'answered') this.#answerBytes += settlement.bytes;
    this.#rows.put({ ...row, settlement });
  }

  getSettlement(keyText: string): Settlement<Answer> | undefined {
    return this.#rows.get(keyText)?.settlement;
  }

  /** Forgets keys that have expired; those still running stay until they are settled. */
  runTick(now: number): void {
    this.#rows
      .list()
      .filter((row) => row.expiresAt <= now && row.settlement)
      .forEach((row) => this.#forget(row));
  }

  #judgeKnown(row: KeyRow<Answer>, fingerprint: string): KeyDecision<Answer> {
    if (row.fingerprint !== fingerprint) throw createRefusal('keyReused');
    if (row.settlement) return { kind: 'repeat', settlement: row.settlement };
    return { kind: 'wait' };
  }

  #isFull(): boolean {
    return (
      this.#rows.size >= this.#settings.maxKeys ||
      this.#answerBytes >= this.#settings.maxAnswerBytes
    );
  }

  #forget(row: KeyRow<Answer>): void {
    if (row.settlement?.kind === 'answered') this.#answerBytes -= row.settlement.bytes;
    this.#rows.remove(row.id);
  }
}
