/**
 * With whom a daemon exchanges the use of accounts, and what part of the fleet it hears.
 *
 * Dispatchers and daemons that leave are told of all admissions and count them. Any other daemon
 * follows what the dispatchers report of the fleet, and is told so only after it has reported itself.
 * A daemon that begins to be told, or did not run for a while, has to begin anew.
 */
import { HeardDaemons } from '@baobabline/core';
import type { Clock, QuotaView } from '@baobabline/core';

import { RecentReporters } from './recent-reporters.js';
import type { UsageRecipient } from './recent-reporters.js';
import type { UsageReport } from './usage-message.js';
import { computeFollowerIntervalMs, computeRegularIntervalMs } from './usage-reports.js';

export type UsageAudiencePorts = {
  readonly clock: Clock;
  /** Wall-clock time in milliseconds; it advances while the VM is suspended. */
  readonly getWallTime: () => number;
  readonly selfId: string;
  readonly selfAddress: string;
  readonly listDispatcherIds: () => readonly string[];
  /** Whether other daemons report to this one in any case. */
  readonly isRecipient: () => boolean;
  /** Daemons that have to know of this one's admissions in any case. */
  readonly listRecipients: () => readonly UsageRecipient[];
  /** Part of the fleet that the membership sees, from 0 to 1. */
  readonly getVisiblePart: () => number;
};

/** Dispatchers go on reporting to a daemon for somewhat longer after its last report. */
const TOLD_MS = 28_000;
/** A longer time between two refreshes means that this daemon did not run. */
const MAX_REFRESH_GAP_MS = 1000;
/** What is seen of the fleet is looked at no more often than this. */
const REFRESH_MS = 10;
/** Time in which a report reaches another daemon and is applied there. */
const ARRIVAL_MS = 25;
/** The view of the fleet is read several times for each request and each datagram. */
const VIEW_VALID_MS = 10;

export class UsageAudience {
  readonly #ports: UsageAudiencePorts;

  readonly #heard: HeardDaemons;

  readonly #reporters: RecentReporters;

  #visiblePart = 1;

  #wasRecipient = false;

  #wasAdmitting = false;

  #view: { readonly at: number; readonly view: QuotaView };

  #reportedAt = Number.NEGATIVE_INFINITY;

  #followersToldAt = Number.NEGATIVE_INFINITY;

  /** Number of daemons to which the dispatchers report. */
  #dispatcherRecipients = 0;

  #refreshed: { readonly at: number; readonly wallTime: number };

  constructor(ports: UsageAudiencePorts) {
    this.#ports = ports;
    const { clock, getWallTime, selfAddress, listRecipients } = ports;
    this.#refreshed = { at: clock.now(), wallTime: getWallTime() };
    this.#heard = new HeardDaemons(clock.now());
    this.#reporters = new RecentReporters(selfAddress, clock, listRecipients);
    this.#view = { at: clock.now(), view: this.#buildView() };
  }

  /** Part of the fleet whose use of accounts is known, from 0 to 1. */
  get visiblePart(): number {
    return this.#visiblePart;
  }

  /**
   * The number by which reports are spaced. Followers do not slow down the reports of dispatchers to
   * each other; a follower reports no more often than dispatchers report to it.
   */
  get recipientCount(): number {
    const { fixed } = this.#reporters.list();
    return this.#ports.isRecipient()
      ? fixed.length
      : Math.max(fixed.length, this.#dispatcherRecipients);
  }

  /** Number of all daemons to which this one reports. */
  get totalCount(): number {
    const { fixed, followers } = this.#reporters.list();
    return fixed.length + followers.length;
  }

  /** Whether it is time to report to the followers, too. */
  get areFollowersDue(): boolean {
    const { followers } = this.#reporters.list();
    const dueAt = this.#followersToldAt + computeFollowerIntervalMs(this.totalCount);
    return followers.length > 0 && this.#ports.clock.now() >= dueAt;
  }

  /** Lists those that are told now, and takes note of it. */
  takeRecipients(): readonly string[] {
    const { fixed, followers } = this.#reporters.list();
    if (!this.areFollowersDue) return fixed;
    this.#followersToldAt = this.#ports.clock.now();
    return [...fixed, ...followers];
  }

  /** The fleet as requests and reports see it, which is the same for some milliseconds. */
  getView(): QuotaView {
    const now = this.#ports.clock.now();
    if (now >= this.#view.at + VIEW_VALID_MS) this.#view = { at: now, view: this.#buildView() };
    return this.#view.view;
  }

  #buildView(): QuotaView {
    const { selfId, listDispatcherIds, isRecipient } = this.#ports;
    const isFollower = !isRecipient();
    return {
      selfId,
      dispatcherIds: listDispatcherIds(),
      hasRecipients: this.totalCount > 0,
      isFollower,
      daemonCount: Math.max(this.totalCount, this.recipientCount) + 1,
      // A dispatcher's report that is under way may not include what has just arrived there.
      arrivalMs: isFollower ? 2 * ARRIVAL_MS : ARRIVAL_MS,
      demandArrivalMs: isFollower ? 2 * ARRIVAL_MS + this.#regularIntervalMs : ARRIVAL_MS,
    };
  }

  /** Records a report; undefined if a newer one was heard, else whether it broke a silence. */
  recordReport(
    { senderId, startId, sequence, recipientCount }: UsageReport,
    address: string,
  ): { readonly wasSilent: boolean } | undefined {
    const report = { id: senderId, startId, sequence };
    const now = this.#ports.clock.now();
    const heard = this.#heard.recordReport(report, this.#regularIntervalMs, now);
    if (!heard) return undefined;
    // Followers report to dispatchers alone; among each other their datagrams would grow as a square.
    if (this.#ports.isRecipient()) this.#reporters.record(address);
    this.#dispatcherRecipients = recipientCount;
    return heard;
  }

  recordSent(): void {
    this.#reportedAt = this.#ports.clock.now();
  }

  /** Brings the visible part up to date; returns whether this daemon has to begin anew. */
  refresh(isAdmitting: boolean): boolean {
    const { clock, getWallTime, isRecipient } = this.#ports;
    const now = clock.now();
    const wallTime = getWallTime();
    const gapMs = Math.max(now - this.#refreshed.at, wallTime - this.#refreshed.wallTime);
    const isKnownAdmitting = !isAdmitting || this.#wasAdmitting;
    if (gapMs < REFRESH_MS && wallTime >= this.#refreshed.wallTime && isKnownAdmitting)
      return false;
    this.#wasAdmitting = isAdmitting;
    this.#refreshed = { at: now, wallTime };
    const isTold = now < this.#reportedAt + TOLD_MS;
    const hasBegun = isRecipient() ? !this.#wasRecipient : isAdmitting && !isTold;
    this.#wasRecipient = isRecipient();
    const shouldReset = hasBegun || gapMs > MAX_REFRESH_GAP_MS;
    if (shouldReset) this.#heard.reset(now);
    // Until its first report is sent, it begins only once.
    if (shouldReset) this.#reportedAt = now;
    this.#visiblePart = Math.min(this.#computeHeardPart(now), this.#ports.getVisiblePart());
    return shouldReset;
  }

  /** Drops daemons that were not heard for long; returns the ids of the others. */
  prune(): ReadonlySet<string> {
    this.#reporters.prune();
    return this.#heard.prune(this.#ports.clock.now());
  }

  get #regularIntervalMs(): number {
    return computeRegularIntervalMs(this.recipientCount);
  }

  #computeHeardPart(now: number): number {
    const { selfId, listDispatcherIds } = this.#ports;
    return this.#heard.computeHeardPart(selfId, listDispatcherIds(), this.#regularIntervalMs, now);
  }
}
