/**
 * The daemons to which the use of accounts is reported: the dispatchers, those that leave, and those
 * that have reported use themselves lately, since callers send to them.
 */
import type { Clock } from '@baobabline/core';

export type UsageRecipient = { readonly address: string };

/** A daemon that gets a request of a small account every few seconds is told all the time. */
const RECENT_MS = 30_000;
/** The list is read several times for each request and each datagram. */
const LIST_VALID_MS = 50;

export class RecentReporters {
  readonly #selfAddress: string;

  readonly #clock: Clock;

  readonly #listFixed: () => readonly UsageRecipient[];

  /** When a daemon last reported, by address. */
  readonly #heardAt = new Map<string, number>();

  #listed: { readonly at: number; readonly addresses: readonly string[] } | undefined;

  constructor(selfAddress: string, clock: Clock, listFixed: () => readonly UsageRecipient[]) {
    this.#selfAddress = selfAddress;
    this.#clock = clock;
    this.#listFixed = listFixed;
  }

  record(address: string): void {
    if (!this.#heardAt.has(address)) this.#listed = undefined;
    this.#heardAt.set(address, this.#clock.now());
  }

  /** Lists the addresses of the recipients, without this daemon. */
  list(): readonly string[] {
    const now = this.#clock.now();
    if (!this.#listed || now > this.#listed.at + LIST_VALID_MS) {
      this.#listed = { at: now, addresses: this.#build() };
    }
    return this.#listed.addresses;
  }

  #build(): readonly string[] {
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
