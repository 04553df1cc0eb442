/**
 * The daemons to which the use of accounts is reported: the dispatchers, those that leave, and those
 * that have reported use themselves lately, since callers send to them.
 *
 * A daemon that is no dispatcher reports to the dispatchers at first. They pass on its address, so
 * that such daemons hear of each other.
 */
import type { Clock } from '@baobabline/core';

export type UsageRecipient = { readonly address: string };

const RECENT_MS = 3000;
/** A few hundred bytes of a datagram. */
const MAX_PASSED_ON = 24;

export class RecentReporters {
  readonly #selfAddress: string;

  readonly #clock: Clock;

  readonly #listFixed: () => readonly UsageRecipient[];

  /** When a daemon last reported, by address. */
  readonly #heard = new Map<string, number>();

  /** When another daemon last stated that a daemon reports, by address. */
  readonly #toldOf = new Map<string, number>();

  /** Position of the next address to be passed on. */
  #next = 0;

  constructor(selfAddress: string, clock: Clock, listFixed: () => readonly UsageRecipient[]) {
    this.#selfAddress = selfAddress;
    this.#clock = clock;
    this.#listFixed = listFixed;
  }

  /** Records a report and the addresses of other daemons that it passes on. */
  record(address: string, others: readonly string[]): void {
    const now = this.#clock.now();
    this.#heard.set(address, now);
    others.forEach((other) => this.#toldOf.set(other, now));
  }

  /** Lists the addresses of the recipients, without this daemon. */
  list(): readonly string[] {
    const fixed = this.#listFixed().map(({ address }) => address);
    const addresses = new Set([...fixed, ...this.#heard.keys(), ...this.#toldOf.keys()]);
    addresses.delete(this.#selfAddress);
    return [...addresses];
  }

  /** Lists the addresses of some daemons that reported, of which others may not know. */
  takePassedOn(): readonly string[] {
    const fixed = new Set(this.#listFixed().map(({ address }) => address));
    const all = [...this.#heard.keys()].filter((address) => !fixed.has(address));
    const from = this.#next % Math.max(1, all.length);
    this.#next = from + MAX_PASSED_ON;
    return [...all.slice(from), ...all.slice(0, from)].slice(0, MAX_PASSED_ON);
  }

  prune(): void {
    const oldest = this.#clock.now() - RECENT_MS;
    [this.#heard, this.#toldOf].forEach((times) =>
      times.forEach((at, address) => {
        if (at < oldest) times.delete(address);
      }),
    );
  }
}
