/**
 * What a daemon has admitted of an account itself, and what of this the others know. A report carries
 * cumulative counts, so that the next one makes up for one that was lost. Until a report has certainly
 * arrived, what it says counts as unknown to the others.
 */
import { addEvents, computeDecayed, NO_EVENTS } from './decaying-count.js';
import type { DecayingCount } from './decaying-count.js';
import { DEMAND_MS, OWN_ACTIVE_MS } from './peer-usages.js';
import type { QuotaView } from './types.js';

type SentReport = {
  readonly at: number;
  readonly count: number;
  readonly demand: DecayingCount;
};

/** Changes are reported again for this long, in case a report was lost. */
const REPEAT_MS = 400;

export class OwnUsage {
  #count = 0;

  #demand: DecayingCount = NO_EVENTS;

  /** Reports that were sent, oldest first; only the first has certainly arrived. */
  #sent: readonly SentReport[] = [];

  #reportCount = 0;

  #changedAt = Number.NEGATIVE_INFINITY;

  #isChanged = false;

  /** Requests admitted since the daemon started, less those that ended without having run. */
  get count(): number {
    return this.#count;
  }

  /** Decaying count of the requests, those refused included; its time is that of the last one. */
  get demand(): DecayingCount {
    return this.#demand;
  }

  get reportCount(): number {
    return this.#reportCount;
  }

  /** Whether the others have not been told of all changes, or may have missed one. */
  shouldReport(now: number): boolean {
    return this.#isChanged || now < this.#changedAt + REPEAT_MS;
  }

  markChanged(now: number): void {
    this.#isChanged = true;
    this.#changedAt = now;
  }

  recordRequest(now: number): void {
    this.#demand = addEvents(this.#demand, 1, now, DEMAND_MS);
    this.markChanged(now);
  }

  /** Counts admitted requests; negative ones are taken back. */
  addAdmitted(count: number, now: number): void {
    this.#count = Math.max(0, this.#count + count);
    this.markChanged(now);
  }

  recordReport(view: QuotaView, now: number): void {
    this.#isChanged = false;
    this.#reportCount += 1;
    const sent = [...this.#sent, { at: now, count: this.#count, demand: this.#demand }];
    const arrived = sent.findLastIndex(({ at }) => at <= now - view.demandArrivalMs);
    this.#sent = sent.slice(Math.max(0, arrived));
  }

  /** Admitted requests of which others may not know. */
  countUnknown(view: QuotaView, now: number): number {
    if (!view.hasRecipients) return 0;
    return Math.max(0, this.#count - (this.#findSent(now - view.arrivalMs)?.count ?? 0));
  }

  /** Demand of which the others must have heard. */
  computeKnownDemand(view: QuotaView, now: number): number {
    return computeDecayed(this.#getKnownDemand(view, now), now, DEMAND_MS);
  }

  /** Whether the others must have heard of a request lately. */
  isKnownActive(view: QuotaView, now: number): boolean {
    return now < this.#getKnownDemand(view, now).at + OWN_ACTIVE_MS;
  }

  #getKnownDemand(view: QuotaView, now: number): DecayingCount {
    if (!view.hasRecipients) return this.#demand;
    return this.#findSent(now - view.demandArrivalMs)?.demand ?? NO_EVENTS;
  }

  #findSent(before: number): SentReport | undefined {
    return this.#sent.findLast(({ at }) => at <= before);
  }
}
