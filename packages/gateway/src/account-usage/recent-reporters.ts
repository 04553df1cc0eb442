/**
 * The daemons to which the use of accounts is reported: the dispatchers and those that leave, and as
 * followers those that have reported use themselves lately, since callers send to them.
 */
import type { Clock } from '@baobabline/core';

export type UsageRecipient = { readonly address: string };

/** Addresses of the recipients, without this daemon. */
export type UsageRecipients = {
  /** Dispatchers and daemons that leave. */
  readonly fixed: readonly string[];
  readonly followers: readonly string[];
};

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

  #listed: (UsageRecipients & { readonly at: number }) | undefined;

  constructor(selfAddress: string, clock: Clock, listFixed: () => readonly UsageRecipient[]) {
    this.#selfAddress = selfAddress;
    this.#clock = clock;
    this.#listFixed = listFixed;
  }

  record(address: string): void {
    if (!this.#heardAt.has(address)) this.#listed = undefined;
    this.#heardAt.set(address, this.#clock.now());
  }

  list(): UsageRecipients {
    const now = this.#clock.now();
    if (!this.#listed || now > this.#listed.at + LIST_VALID_MS) {
      this.#listed = { at: now, ...this.#build() };
    }
    return this.#listed;
  }

  #build(): UsageRecipients {
    const fixed = new Set(this.#listFixed().map(({ address }) => address));
    fixed.delete(this.#selfAddress);
    const followers = [...this.#heardAt.keys()].filter((address) => !fixed.has(address));
    return { fixed: [...fixed], followers };
  }

  prune(): void {
    const oldest = this.#clock.now() - RECENT_MS;
    this.#heardAt.forEach((at, address) => {
      if (at < oldest) this.#heardAt.delete(address);
    });
  }
}
