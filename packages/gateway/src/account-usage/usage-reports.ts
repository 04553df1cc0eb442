/**
 * When a daemon reports the use of accounts to the others: soon for accounts close to their quotas,
 * more rarely for others, and regularly as a dispatcher, since its silence means that it is cut off.
 * Reports are spaced by the number of their recipients, which bounds the datagrams that a daemon
 * sends and receives in a second.
 */
import type { Clock } from '@baobabline/core';

export type UsageReportsPorts = {
  readonly clock: Clock;
  /** Calls back after a time in milliseconds; returns a function that cancels it. */
  readonly schedule: (run: () => void, delayMs: number) => () => void;
  readonly countRecipients: () => number;
  /** Whether the others expect reports although nothing has changed. */
  readonly isExpected: () => boolean;
  /** Whether there are changes to be reported, or to be reported again. */
  readonly hasChanges: () => boolean;
  readonly send: () => void;
};

/** Requests that arrive together are reported together. */
const COLLECT_MS = 2;
const URGENT_INTERVAL_MS = 25;
const CHANGE_INTERVAL_MS = 100;
const REGULAR_INTERVAL_MS = 150;
/** At most 250 datagrams a second if all daemons report urgent changes to all. */
const URGENT_MS_PER_RECIPIENT = 4;
/** At most 143 datagrams a second. */
const MS_PER_RECIPIENT = 7;

/** Time between two reports of a dispatcher without changes, by the number of recipients. */
export function computeRegularIntervalMs(recipientCount: number): number {
  return Math.max(REGULAR_INTERVAL_MS, recipientCount * MS_PER_RECIPIENT);
}

/** Least time between two reports of a dispatcher to its followers. */
export function computeFollowerIntervalMs(recipientCount: number): number {
  return Math.max(CHANGE_INTERVAL_MS, recipientCount * URGENT_MS_PER_RECIPIENT);
}

export class UsageReports {
  readonly #ports: UsageReportsPorts;

  #sentAt = Number.NEGATIVE_INFINITY;

  #dueAt = Number.POSITIVE_INFINITY;

  #cancel: (() => void) | undefined;

  constructor(ports: UsageReportsPorts) {
    this.#ports = ports;
  }

  /** Schedules a report of a change. */
  recordChange(isUrgent: boolean): void {
    const count = this.#ports.countRecipients();
    const intervalMs = isUrgent
      ? Math.max(URGENT_INTERVAL_MS, count * URGENT_MS_PER_RECIPIENT)
      : Math.max(CHANGE_INTERVAL_MS, count * MS_PER_RECIPIENT);
    this.#scheduleAt(this.#sentAt + intervalMs);
  }

  /** Schedules a regular report where others expect one. */
  runTick(): void {
    if (this.#ports.isExpected()) this.#scheduleRegular();
  }

  stop(): void {
    this.#cancel?.();
    this.#cancel = undefined;
    this.#dueAt = Number.POSITIVE_INFINITY;
  }

  #scheduleRegular(): void {
    this.#scheduleAt(this.#sentAt + computeRegularIntervalMs(this.#ports.countRecipients()));
  }

  #scheduleAt(at: number): void {
    const now = this.#ports.clock.now();
    const dueAt = Math.max(at, now + COLLECT_MS);
    if (dueAt >= this.#dueAt) return;
    this.stop();
    this.#dueAt = dueAt;
    this.#cancel = this.#ports.schedule(() => this.#send(), dueAt - now);
  }

  #send(): void {
    this.stop();
    this.#sentAt = this.#ports.clock.now();
    this.#ports.send();
    if (this.#ports.hasChanges() || this.#ports.isExpected()) this.#scheduleRegular();
  }
}
