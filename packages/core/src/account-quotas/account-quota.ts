/**
 * The quota of one account as one daemon keeps it: decides which requests are admitted, counts what
 * it has admitted itself, and takes in what other daemons report.
 *
 * A report carries cumulative counts, so that the next one makes up for one that was lost. Until a
 * report has certainly arrived, what it says counts as unknown to the others.
 */
import type { ClientAccount } from '../accounts/index.js';
import type { BucketRate } from '../limits/index.js';
import type { HashText } from '../runtime/index.js';
import { addEvents, computeDecayed, NO_EVENTS } from './decaying-count.js';
import type { DecayingCount } from './decaying-count.js';
import { FleetBucket } from './fleet-bucket.js';
import { computeQuotaLimits } from './quota-limits.js';
import type { QuotaBounds, QuotaLimits } from './quota-limits.js';
import { RetryTimes } from './retry-times.js';
import { computeTokenShare, mayGrant, MIN_DEMAND } from './token-share.js';
import type { TokenShare } from './token-share.js';
import type { AccountUsage, QuotaVerdict, QuotaView, UsageSender } from './types.js';

export type AccountQuotaOptions = {
  readonly bounds: QuotaBounds;
  readonly hash: HashText;
  /** Whether the account or its quota is new in the configuration. */
  readonly isNew: boolean;
};

type PeerUsage = {
  readonly startId: number;
  readonly count: number;
  readonly demand: DecayingCount;
};

type SentReport = {
  readonly at: number;
  readonly count: number;
  readonly demand: DecayingCount;
};

/** Time constant of the demand: long enough to see an account of one request a second. */
const DEMAND_MS = 2000;
/** Time constant of the rate over the fleet. */
const RATE_MS = 1000;
/** Time in which a report reaches the others and is applied there. */
const ARRIVAL_MS = 25;
/** A daemon that knew nothing adopts what others report for this long. */
const LEARNING_MS = 1000;
/** Changes are reported again for this long, in case a report was lost. */
const REPEAT_MS = 400;
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

  readonly #peers = new Map<string, PeerUsage>();

  #rate: BucketRate;

  #limits: QuotaLimits;

  #count = 0;

  #demand: DecayingCount = NO_EVENTS;

  /** Requests admitted over the fleet. */
  #fleetAdmitted: DecayingCount = NO_EVENTS;

  /** Reports of this account that were sent, oldest first; only the first may have arrived. */
  #sent: readonly SentReport[] = [];

  #changedAt = Number.NEGATIVE_INFINITY;

  #isChanged = false;

  #learningSince: number;

  #hasAdopted = false;

  #share: (TokenShare & { readonly at: number }) | undefined;

  /**
   * Starts without tokens, unless the account has only now come into the configuration: then all
   * daemons begin with a full bucket.
   */
  constructor(
    account: ClientAccount,
    { bounds, hash, isNew }: AccountQuotaOptions,
    now: number,
  ) {
    this.name = account.name;
    this.#hash = hash;
    this.#bounds = bounds;
    this.#rate = getRate(account);
    this.#limits = computeQuotaLimits(this.#rate, bounds);
    this.#bucket = new FleetBucket(this.#rate, this.#limits, now);
    this.#learningSince = isNew ? Number.NEGATIVE_INFINITY : now;
    if (isNew) this.#bucket.setTokens(this.#limits.capacity, now);
  }

  /** Whether the others have not been told of all changes, or may have missed one. */
  shouldReport(now: number): boolean {
    return this.#isChanged || now < this.#changedAt + REPEAT_MS;
  }

  getTokens(now: number): number {
    return this.#bucket.getTokens(now);
  }

  /** Requests of the account that are admitted per second over the fleet, lately. */
  getFleetRate(now: number): number {
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
    this.#bucket.setVisiblePart(part, now);
  }

  /** Admits or refuses a request. */
  admit(view: QuotaView, now: number): QuotaVerdict {
    const tokens = this.#bucket.getTokens(now);
    const unknownToOthers = this.#countUnknown(view, now);
    const isNew = this.#getKnownDemand(view, now) < MIN_DEMAND;
    this.#demand = addEvents(this.#demand, 1, now, DEMAND_MS);
    this.#markChanged(now);
    const { share, rank } = this.#getShare(view, now);
    const { refillPerMs } = this.#bucket;
    const isAdmitted = mayGrant({
      tokens: tokens + unknownToOthers,
      unknownToOthers,
      share,
      rank,
      limits: this.#limits,
      refillPerMs,
    });
    if (isAdmitted) this.#addAdmitted(1, now);
    const isUrgent = isNew || !isAdmitted || tokens < URGENT_PART * this.#limits.capacity;
    const outlook = { tokens, refillPerMs, share };
    const retryAfterMs = isAdmitted ? 0 : this.#retryTimes.take(outlook, now);
    return { isAdmitted, retryAfterMs, isUrgent };
  }

  /** Returns the token of a request that ended without having run. */
  release(now: number): void {
    this.#addAdmitted(-1, now);
    this.#markChanged(now);
  }

  /** Returns what is to be reported, and counts it as reported. */
  takeUsage(now: number): AccountUsage {
    this.#isChanged = false;
    const sent = [...this.#sent, { at: now, count: this.#count, demand: this.#demand }];
    const arrived = sent.findLastIndex(({ at }) => at <= now - ARRIVAL_MS);
    this.#sent = sent.slice(Math.max(0, arrived));
    return {
      count: this.#count,
      demand: computeDecayed(this.#demand, now, DEMAND_MS),
      tokens: this.#isLearning(now) ? undefined : this.#bucket.getTokens(now),
    };
  }

  /** Takes in the use that another daemon reports. */
  applyUsage(sender: UsageSender, usage: AccountUsage, now: number): void {
    const admitted = this.#countNew(sender, usage, now);
    this.#peers.set(sender.id, {
      startId: sender.startId,
      count: usage.count,
      demand: { value: usage.demand, at: now },
    });
    this.#share = undefined;
    this.#fleetAdmitted = addEvents(this.#fleetAdmitted, admitted, now, RATE_MS);
    if (sender.wasSilent) this.#bucket.spendLate(admitted, now);
    else this.#bucket.spend(admitted, now);
    if (usage.tokens !== undefined && this.#isLearning(now)) this.#adopt(usage.tokens, now);
  }

  /** Drops what is known of daemons that are gone. */
  keepPeers(ids: ReadonlySet<string>): void {
    [...this.#peers.keys()].filter((id) => !ids.has(id)).forEach((id) => this.#peers.delete(id));
  }

  /** Forgets what other daemons reported, as their reports may have been missed. */
  reset(now: number): void {
    this.#peers.clear();
    this.#bucket.reset(now);
    this.#learningSince = now;
    this.#hasAdopted = false;
    this.#share = undefined;
  }

  #isLearning(now: number): boolean {
    return now < this.#learningSince + LEARNING_MS;
  }

  #markChanged(now: number): void {
    this.#isChanged = true;
    this.#changedAt = now;
  }

  #addAdmitted(count: number, now: number): void {
    this.#count = Math.max(0, this.#count + count);
    this.#fleetAdmitted = addEvents(this.#fleetAdmitted, count, now, RATE_MS);
    this.#bucket.spend(count, now);
  }

  /** The tokens that another daemon believes are left do not include own admissions under way. */
  #adopt(tokens: number, now: number): void {
    const unknown = this.#count - (this.#findArrived(now)?.count ?? 0);
    const known = tokens - Math.max(0, unknown);
    const adopted = this.#hasAdopted ? Math.min(known, this.#bucket.getTokens(now)) : known;
    this.#hasAdopted = true;
    this.#bucket.setTokens(adopted, now);
  }

  /** Requests that a daemon admitted since its last report, or since this one began to listen. */
  #countNew({ id, startId, startedAt }: UsageSender, usage: AccountUsage, now: number): number {
    const known = this.#peers.get(id);
    if (known?.startId === startId) return usage.count - known.count;
    // Daemons that start together hear each other's first counts only after they began to listen.
    if (known || startedAt > this.#learningSince - LEARNING_MS) return usage.count;
    // Its earlier requests are in the tokens that were adopted; the latest may not be.
    return this.#isLearning(now) ? 0 : Math.min(usage.count, Math.round(usage.demand));
  }

  #findArrived(now: number): SentReport | undefined {
    return this.#sent.findLast(({ at }) => at <= now - ARRIVAL_MS);
  }

  #countUnknown({ hasRecipients }: QuotaView, now: number): number {
    if (!hasRecipients) return 0;
    return Math.max(0, this.#count - (this.#findArrived(now)?.count ?? 0));
  }

  #getKnownDemand({ hasRecipients }: QuotaView, now: number): number {
    const demand = hasRecipients ? (this.#findArrived(now)?.demand ?? NO_EVENTS) : this.#demand;
    return computeDecayed(demand, now, DEMAND_MS);
  }

  #getShare(view: QuotaView, now: number): TokenShare {
    if (this.#share && now < this.#share.at + SHARE_VALID_MS) return this.#share;
    const { selfId, dispatcherIds } = view;
    const others = [...this.#peers].map(([id, { demand }]) => ({
      id,
      demand: computeDecayed(demand, now, DEMAND_MS),
    }));
    const share = computeTokenShare({
      accountName: this.name,
      selfId,
      ownDemand: this.#getKnownDemand(view, now),
      others,
      dispatcherIds,
      hash: this.#hash,
    });
    this.#share = { ...share, at: now };
    return share;
  }
}
