/**
 * Sends changes of records to other daemons: an update in response to each poll, and further updates
 * as changes occur to the daemons whose last poll asked for them.
 *
 * Load pattern: dozens of daemons follow one reader while upstreams come and go all the time.
 * Changes in quick succession are sent in one update, and an update is formatted once for all
 * daemons that know the same.
 */
import { hasAllKnown, mergeKnown } from '@baobabline/core';
import type { Clock, FreshnessClaim, KnownRevisions, Replica } from '@baobabline/core';

import { formatRecordUpdate, formatRecords } from './messages.js';
import type { Poll } from './messages.js';

export type RecordFeedDependencies = {
  readonly clock: Clock;
  readonly selfId: string;
  readonly replica: Replica;
  readonly buildClaim: () => FreshnessClaim | undefined;
  readonly send: (body: Buffer, address: string) => void;
};

/** Changes within this time are sent in one update. */
const BATCH_DELAY_MS = 80;
/** Several times the polling interval of followers, since polls may get lost. */
const SUBSCRIPTION_MS = 1500;

type Subscription = {
  readonly known: KnownRevisions;
  readonly until: number;
};

export class RecordFeed {
  readonly #dependencies: RecordFeedDependencies;

  /** By the address of the follower. */
  readonly #subscriptions = new Map<string, Subscription>();

  #timer: NodeJS.Timeout | undefined;

  constructor(dependencies: RecordFeedDependencies) {
    this.#dependencies = dependencies;
  }

  /** Answers a poll with an update, and starts, renews or ends the sender's subscription. */
  handlePoll({ known: base, wantsPush }: Poll, address: string): void {
    const { clock, replica } = this.#dependencies;
    this.#sendUpdate(address, base, new Map());
    const known = mergeKnown(base, replica.known);
    const until = clock.now() + SUBSCRIPTION_MS;
    if (wantsPush) this.#subscriptions.set(address, { known, until });
    else this.#subscriptions.delete(address);
  }

  /** Schedules an update to all subscribers after the batch delay. */
  announce(): void {
    if (this.#subscriptions.size === 0) return;
    this.#timer ??= setTimeout(() => this.sendPending(), BATCH_DELAY_MS);
  }

  /** Sends pending changes to all subscribers now, and removes expired subscriptions. */
  sendPending(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    const now = this.#dependencies.clock.now();
    const { known } = this.#dependencies.replica;
    const formatted = new Map<string, Buffer>();
    [...this.#subscriptions].forEach(([address, subscription]) => {
      if (subscription.until < now) this.#subscriptions.delete(address);
      else if (!hasAllKnown(subscription.known, known)) {
        this.#sendUpdate(address, subscription.known, formatted);
        this.#subscriptions.set(address, {
          ...subscription,
          known: mergeKnown(subscription.known, known),
        });
      }
    });
  }

  /** Sends the changes since `base` to daemons that have not asked for them. */
  notify(addresses: readonly string[], base: KnownRevisions): void {
    const formatted = new Map<string, Buffer>();
    addresses.forEach((address) => this.#sendUpdate(address, base, formatted));
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#subscriptions.clear();
  }

  /** `formatted` holds the updates that were formatted already, by what their receivers know. */
  #sendUpdate(address: string, base: KnownRevisions, formatted: Map<string, Buffer>): void {
    const key = JSON.stringify(base);
    const body = formatted.get(key) ?? this.#formatUpdate(base);
    formatted.set(key, body);
    this.#dependencies.send(body, address);
  }

  #formatUpdate(base: KnownRevisions): Buffer {
    const { replica, selfId, buildClaim } = this.#dependencies;
    const { records, known, eras, isWhole } = replica.listChangesSince(base);
    const rows = isWhole ? undefined : formatRecords(records);
    return formatRecordUpdate({ id: selfId, base, known, eras, claim: buildClaim() }, rows);
  }
}
