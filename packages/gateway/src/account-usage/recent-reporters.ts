/**
 * The daemons to which the use of accounts is reported: the dispatchers, those that leave, and those
 * that have reported use themselves lately, since callers send to them.
 */
import type { Clock } from '@baobabline/core';

export type UsageRecipient = { readonly address: string };

/** A daemon that gets a request of a small account every few seconds is told all the time. */
const RECENT_MS = 30_000;

export class RecentReporters {
  readonly #selfAddress: string;

  readonly #clock: Clock;

  readonly #listFixed: () => readonly UsageRecipient[];

  /** When a daemon last reported, by address. */
  readonly #heardAt = new Map<string, number>();

  constructor(selfAddress: string, clock: Clock, listFixed: () => readonly UsageRecipient[]) {
    this.#selfAddress = selfAddress;
    this.#clock = clock;
    this.#listFixed = listFixed;
  }

  record(address: string): void {
    this.#heardAt.set(address, this.#clock.now());
  }

  /** Lists the addresses of the recipients, without this daemon. */
  list(): readonly string[] {
    const fixed = this.#listFixed().map(({ address }) => address);
    const addresses = new Set([...fixed, ...this.#heardAt.keys()]);
    addresses.delete(this.#selfAddress);
    return [...addresses];
  }

  prune(): void {
    const oldest = this.#clock.now() - RECENT_MS;
    this.#heardAt.forEach((at, address) => {
      if (at < oldest) this.#heardAt.delete(address);
    });
  }
}
