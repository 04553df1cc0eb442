/**
 * The quota of one account as one daemon keeps it: decides which requests are admitted, counts what
 * it has admitted itself, and takes in what other daemons report.
 */
import type { ClientAccount } from '../accounts/index.js';
import type { BucketRate } from '../limits/index.js';
import type { HashText } from '../runtime/index.js';
import { addEvents, computeDecayed, NO_EVENTS } from './decaying-count.js';
import type { DecayingCount } from './decaying-count.js';
import { FleetBucket } from './fleet-bucket.js';
import { OwnUsage } from './own-usage.js';
import { DEMAND_MS, PeerUsages } from './peer-usages.js';
import { computeQuotaLimits } from './quota-limits.js';
import type { QuotaBounds, QuotaLimits } from './quota-limits.js';
import { RetryTimes } from './retry-times.js';
import type { TokenOutlook } from './retry-times.js';
import { computeFollowerShare, computeTokenShare, HASH_RANGE, mayGrant } from './token-share.js';
import type { TokenShare } from './token-share.js';
import type { AccountUsage, FleetUsage, QuotaVerdict, QuotaView, UsageSender } from './types.js';
import { WindowUse } from './window-use.js';

export type AccountQuotaOptions = {
  readonly bounds: QuotaBounds;
  readonly hash: HashText;
  /** Whether the account or its quota is new in the configuration. */
  readonly isNew: boolean;
};

/** Time constant of the rate over the fleet. */
const RATE_MS = 1000;
/** A daemon that knew nothing adopts what others report for this long. */
const LEARNING_MS = 1000;
/** By then a daemon that is no dispatcher has been told how many tokens are left. */
const FIRST_REPORT_MS = 200;
/** The share follows the reports, which come no more often than this. */
const SHARE_VALID_MS = 10;
/** The others hear soon of an account with less than this part of its tokens. */
const URGENT_PART = 0.5;
const MS_PER_SECOND = 1000;

function getRate({ ratePerSecond = 0, burst }: ClientAccount): BucketRate {
  return { ratePerSecond, burst };
}

export class AccountQuota {
  readonly name: string;

  readonly #hash: HashText;

  readonly #bounds: QuotaBounds;

  readonly #bucket: FleetBucket;

  readonly #retryTimes = new RetryTimes();

  readonly #own = new OwnUsage();

  readonly #peers = new PeerUsages();

  #rate: BucketRate;

  #limits: QuotaLimits;

  /** Requests admitted over the fleet. */
  #fleetAdmitted: DecayingCount = NO_EVENTS;

  readonly #windowUse: WindowUse;

  #learningSince: number;

  /** Since when the whole fleet is heard; infinite while it is not. */
  #wholeSince: number;

  /** Whether another daemon has told how many tokens are left. */
  #hasAdopted = false;

  #share: (TokenShare & { readonly at: number }) | undefined;

  /**
   * Starts without tokens, unless the account has only now come into the configuration: then all
   * daemons begin with a full bucket.
   */
  constructor(account: ClientAccount, { bounds, hash, isNew }: AccountQuotaOptions, now: number) {
    this.name = account.name;
    this.#hash = hash;
    this.#bounds = bounds;
    this.#rate = getRate(account);
    this.#limits = computeQuotaLimits(this.#rate, bounds);
    this.#bucket = new FleetBucket(this.#rate, this.#limits, now);
    this.#windowUse = new WindowUse(bounds.windowMs);
    this.#learningSince = isNew ? Number.NEGATIVE_INFINITY : now;
    this.#wholeSince = now;
    if (isNew) this.#bucket.setTokens(this.#limits.capacity, now);
  }

  /** Whether the others have not been told of all changes, or may have missed one. */
  shouldReport(now: number): boolean {
    return this.#own.shouldReport(now);
  }

  getTokens(now: number): number {
    return this.#bucket.getTokens(now);
  }

  /** Requests of the account that are admitted per second over the fleet, lately. */
  getFleetRate({ isFollower }: QuotaView, now: number): number {
    if (isFollower) return this.#findFleetUsage(now)?.ratePerSecond ?? 0;
    return computeDecayed(this.#fleetAdmitted, now, RATE_MS) / (RATE_MS / MS_PER_SECOND);
  }

  applyAccount(account: ClientAccount, now: number): void {
    const rate = getRate(account);
    if (rate.ratePerSecond === this.#rate.ratePerSecond && rate.burst === this.#rate.burst) return;
    this.#rate = rate;
    this.#limits = computeQuotaLimits(rate, this.#bounds);
    this.#bucket.setRate(rate, this.#limits, now);
  }

  setVisiblePart(part: number, now: number): void {
    this.#wholeSince = part < 1 ? Number.POSITIVE_INFINITY : Math.min(this.#wholeSince, now);
    this.#bucket.setVisiblePart(part, now);
  }

  /** Admits or refuses a request. */
  admit(view: QuotaView, now: number): QuotaVerdict {
    const tokens = this.#computeTokens(view, now);
    const unknownToOthers = this.#own.countUnknown(view, now);
    const isNew = !this.#own.isKnownActive(view, now);
    this.#own.recordRequest(now);
    const share = this.#getShare(view, now);
    const { refillPerMs } = this.#bucket;
    const grant = {
      tokens: tokens + unknownToOthers,
      unknownToOthers,
      ...share,
      limits: this.#limits,
      refillPerMs,
      draw: this.#hash(`${this.name}|${view.selfId}|${this.#own.reportCount}`) / HASH_RANGE,
    };
    const isAdmitted = mayGrant(grant);
    if (isAdmitted) this.#addAdmitted(1, now);
    // The next request would have to wait for a report.
    const isUsedUp = !mayGrant({ ...grant, unknownToOthers: unknownToOthers + 1 });
    const isClose = tokens < URGENT_PART * this.#limits.capacity;
    const outlook = { tokens, refillPerMs, share: share.share + share.equalShare };
    const retryAfterMs = isAdmitted ? 0 : this.#chooseRetryMs(view, outlook, now);
    return { isAdmitted, retryAfterMs, isUrgent: isNew || isUsedUp || isClose };
  }

  /** Returns the token of a request that ended without having run. */
  release(now: number): void {
    this.#addAdmitted(-1, now);
  }

  /** Returns what is to be reported, and counts it as reported. */
  takeUsage(view: QuotaView, now: number): AccountUsage {
    this.#own.recordReport(view, now);
    return {
      count: this.#own.count,
      demand: computeDecayed(this.#own.demand, now, DEMAND_MS),
      fleet: view.isFollower ? undefined : this.#computeFleetUsage(view, now),
    };
  }

  /** Takes in the use that another daemon reports. */
  applyUsage(sender: UsageSender, usage: AccountUsage, view: QuotaView, now: number): void {
    const isLearning = this.#isLearning(now);
    // Daemons that start together hear each other's first counts only after they began to listen.
    const listeningAt = this.#learningSince - LEARNING_MS;
    const admitted = this.#peers.apply(sender, usage, { listeningAt, isLearning }, now);
    this.#share = undefined;
    if (view.isFollower) {
      this.#follow(view, now);
      return;
    }
    this.#fleetAdmitted = addEvents(this.#fleetAdmitted, admitted, now, RATE_MS);
    this.#windowUse.record(admitted, now);
    if (sender.wasSilent) this.#bucket.spendLate(admitted, now);
    else this.#bucket.spend(admitted, now);
    if (usage.fleet && isLearning && !sender.isLearning) {
      this.#applyTokens(usage.fleet.tokens, view, now);
    }
  }

  /** Has the account reported soon, as another daemon needs to know of it. */
  scheduleReport(now: number): void {
    this.#own.markChanged(now);
  }

  /** Drops what is known of daemons that are gone. */
  keepPeers(ids: ReadonlySet<string>): void {
    this.#peers.keep(ids);
  }

  /** Forgets what other daemons reported, as their reports may have been missed. */
  reset(now: number): void {
    this.#peers.clear();
    this.#bucket.reset(now);
    this.#learningSince = now;
    this.#hasAdopted = false;
    this.#share = undefined;
  }

  /**
   * The tokens that are left: those of the bucket or, where more, what a window allows. The window
   * counts only for a daemon that has heard the whole fleet throughout it.
   */
  #computeTokens({ isFollower }: QuotaView, now: number): number {
    const tokens = this.#bucket.getTokens(now);
    const knownSince = Math.max(this.#wholeSince, this.#learningSince);
    if (isFollower || now < knownSince + this.#bounds.windowMs) return tokens;
    return Math.max(tokens, this.#windowUse.computeLeft(this.#rate, this.#bounds, now));
  }

  #isLearning(now: number): boolean {
    return now < this.#learningSince + LEARNING_MS;
  }

  #chooseRetryMs(view: QuotaView, outlook: TokenOutlook, now: number): number {
    if (view.isFollower && !this.#hasAdopted) return FIRST_REPORT_MS;
    return this.#retryTimes.take(outlook, now);
  }

  #addAdmitted(count: number, now: number): void {
    this.#own.addAdmitted(count, now);
    this.#fleetAdmitted = addEvents(this.#fleetAdmitted, count, now, RATE_MS);
    this.#windowUse.record(count, now);
    this.#bucket.spend(count, now);
  }

  /** The tokens that another daemon believes are left do not include own admissions under way. */
  #applyTokens(tokens: number, view: QuotaView, now: number): void {
    const known = tokens - this.#own.countUnknown(view, now);
    const adopted = this.#hasAdopted ? Math.min(known, this.#bucket.getTokens(now)) : known;
    this.#hasAdopted = true;
    this.#bucket.setTokens(adopted, now);
  }

  /** Sets the tokens to what the dispatchers believe, less own admissions of which they do not know. */
  #follow(view: QuotaView, now: number): void {
    const fleet = this.#findFleetUsage(now);
    if (!fleet) return;
    this.#hasAdopted = true;
    this.#bucket.setTokens(fleet.tokens - this.#own.countUnknown(view, now), now);
  }

  #findFleetUsage(now: number): FleetUsage | undefined {
    return this.#peers.findFleetUsage(this.#bucket.refillPerMs, now);
  }

  #computeFleetUsage(view: QuotaView, now: number): FleetUsage {
    const { demand, active } = this.#peers.sumDemand(this.#own.demand, now);
    return {
      tokens: this.#computeTokens(view, now),
      demand,
      activeDaemons: active,
      ratePerSecond: this.getFleetRate(view, now),
    };
  }

  #getShare(view: QuotaView, now: number): TokenShare {
    if (this.#share && now < this.#share.at + SHARE_VALID_MS) return this.#share;
    const input = {
      accountName: this.name,
      selfId: view.selfId,
      ownDemand: this.#own.computeKnownDemand(view, now),
      isActive: this.#own.isKnownActive(view, now),
      hash: this.#hash,
    };
    const share = view.isFollower
      ? computeFollowerShare(input, this.#findFleetUsage(now), view.daemonCount)
      : computeTokenShare({
          ...input,
          others: this.#peers.listDemands(now),
          dispatcherIds: view.dispatcherIds,
        });
    this.#share = { ...share, at: now };
    return share;
  }
}
