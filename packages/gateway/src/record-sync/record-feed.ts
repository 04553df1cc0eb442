/**
 * Tells other daemons of changes of the records: an answer to each poll, and news as they come to
 * those whose last poll asked for them.
 *
 * Load pattern: dozens of daemons behind one reader while upstreams come and go all the time.
 * Changes that follow each other closely travel together, and daemons that know the same are sent
 * the same bytes.
 */
import type { Clock, FreshnessClaim, Replica } from '@baobabline/core';

import { formatRecordUpdate, formatRecords } from './messages.js';
import type { Poll } from './messages.js';

export type RecordFeedDependencies = {
  readonly clock: Clock;
  readonly selfId: string;
  readonly replica: Replica;
  readonly buildClaim: () => FreshnessClaim | undefined;
  readonly send: (body: Buffer, address: string) => void;
};

/** Changes that follow each other closely are told together. */
const BATCH_DELAY_MS = 80;
/** Followers poll several times as often. */
const SUBSCRIPTION_MS = 1500;

type Subscription = {
  readonly revision: number;
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

  /** Answers a poll. */
  handlePoll({ revision, wantsPush }: Poll, address: string): void {
    const { clock, replica } = this.#dependencies;
    this.#sendUpdate(address, revision, new Map());
    const known = Math.max(revision, replica.revision);
    const until = clock.now() + SUBSCRIPTION_MS;
    if (wantsPush) this.#subscriptions.set(address, { revision: known, until });
    else this.#subscriptions.delete(address);
  }

  /** Sends what has changed to all who want it, soon. */
  announce(): void {
    if (this.#subscriptions.size === 0) return;
    this.#timer ??= setTimeout(() => this.sendPending(), BATCH_DELAY_MS);
  }

  /** Sends what has changed to all who want it, now. */
  sendPending(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    const now = this.#dependencies.clock.now();
    const { revision } = this.#dependencies.replica;
    const formatted = new Map<number, Buffer>();
    [...this.#subscriptions].forEach(([address, subscription]) => {
      if (subscription.until < now) this.#subscriptions.delete(address);
      else if (subscription.revision < revision) {
        this.#sendUpdate(address, subscription.revision, formatted);
        this.#subscriptions.set(address, { ...subscription, revision });
      }
    });
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#subscriptions.clear();
  }

  #sendUpdate(address: string, baseRevision: number, formatted: Map<number, Buffer>): void {
    const known = formatted.get(baseRevision);
    const body = known ?? this.#formatUpdate(baseRevision);
    formatted.set(baseRevision, body);
    this.#dependencies.send(body, address);
  }

  #formatUpdate(baseRevision: number): Buffer {
    const { replica, selfId, buildClaim } = this.#dependencies;
    const { records, isWhole } = replica.listChangesSince(baseRevision);
    const rows = isWhole ? undefined : formatRecords(records);
    const { revision } = replica;
    return formatRecordUpdate({ id: selfId, baseRevision, revision, claim: buildClaim() }, rows);
  }
}
