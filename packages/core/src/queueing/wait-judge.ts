/**
 * Decides which requests of a service wait for a slot, which yield to others, and which are refused.
 *
 * Load pattern: more requests arrive for seconds than all slots can run, from many accounts and of
 * several kinds. Requests of an account that is over its share, and those of a kind of which more is
 * served than of a more urgent one, come after all others. They wait only for the slots that the others
 * leave free, and are so refused first.
 */
import type { Clock, RandomSource } from '../runtime/index.js';
import { AccountShares } from './account-shares.js';
import type { AccountSharesPorts, ShareAccount } from './account-shares.js';
import { isServable } from './admission.js';
import type { QueueState, RemainingTime } from './admission.js';
import type { QueuedRequest } from './queue-lane.js';
import { ReturnTimes } from './return-times.js';
import { ServedShares } from './served-shares.js';

/** Why a request comes after those that need not yield. */
export type YieldReason = 'account-over-share' | 'kind-served-more';

/** Why a request is refused that waits, or would have to wait. */
export type RefusalReason = YieldReason | 'slots' | 'expired' | 'retry-budget';

export type WaitVerdict =
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse'; readonly reason: RefusalReason; readonly retryAfterMs: number };

/**
 * A request that yields is queued only if it is expected to be served within this share of its time:
 * the estimate knows nothing of bursts of the others, and a late refusal costs most.
 */
const MAX_YIELDING_WAIT_SHARE = 0.5;
/** Stands for the requests that need no key. */
const PUBLIC_ACCOUNT: ShareAccount = { name: '' };

export class WaitJudge {
  readonly #clock: Clock;

  readonly #accounts: AccountShares;

  readonly #servedShares: ServedShares;

  readonly #returnTimes: ReturnTimes;

  constructor(random: RandomSource, ports: AccountSharesPorts) {
    this.#clock = ports.clock;
    this.#accounts = new AccountShares(ports);
    this.#servedShares = new ServedShares(ports.clock);
    this.#returnTimes = new ReturnTimes(random);
  }

  /** Lists the accounts that are over their share now. */
  listOverShare(): readonly string[] {
    return this.#accounts.listOverShare();
  }

  isOverShare(accountName = PUBLIC_ACCOUNT.name): boolean {
    return this.#accounts.getYieldRank(accountName) > 0;
  }

  recordArrival(account = PUBLIC_ACCOUNT): void {
    this.#accounts.recordArrival(account);
  }

  /** Records that a request was sent to an upstream for the first time. */
  recordServed(priority: number, account = PUBLIC_ACCOUNT): void {
    this.#accounts.recordServed(account);
    this.#servedShares.record(priority, true);
  }

  /** Records that a request was refused; those of accounts over their share do not count for their kind. */
  recordRefused(priority: number, reason: RefusalReason): void {
    const isOfKind = reason !== 'account-over-share' && reason !== 'retry-budget';
    if (isOfKind) this.#servedShares.record(priority, false);
  }

  /** Ranks a request among those that wait: lower ranks are served first. */
  getYieldRank({ accountName = PUBLIC_ACCOUNT.name, priority }: QueuedRequest): number {
    const rank = this.#accounts.getYieldRank(accountName);
    return rank === 0 ? Number(this.#servedShares.shouldYield(priority)) : rank;
  }

  /** Decides whether a request should be queued, or stay queued; `state.waiting` counts those ahead. */
  judge(request: QueuedRequest, state: QueueState, isQueued: boolean): WaitVerdict {
    const reason = request.isRetry ? undefined : this.#findYieldReason(request);
    const isWorthWaiting =
      reason === undefined
        ? isServable(state, this.#computeTimeLeft(request))
        : this.#isServableYielding(request, state, reason, isQueued);
    if (isWorthWaiting) return { kind: 'wait' };
    const retryAfterMs = this.assignReturn(request.latestSendAt, state);
    return { kind: 'refuse', reason: reason ?? 'slots', retryAfterMs };
  }

  /** Assigns the time after which the caller of a refused request should return, in milliseconds. */
  assignReturn(latestSendAt: number, state: QueueState): number {
    const now = this.#clock.now();
    return this.#returnTimes.assign(state, Math.max(0, latestSendAt - now), now);
  }

  #computeTimeLeft({ targetAt, latestSendAt, isRetry }: QueuedRequest): RemainingTime {
    const now = this.#clock.now();
    const timeLeftMs = latestSendAt - now;
    // New requests never overtake a retry, even a late one.
    return { targetLeftMs: isRetry ? timeLeftMs : targetAt - now, timeLeftMs };
  }

  /**
   * Whether a request that yields can be in time in the slots that the others leave free: of an
   * account over its share, those that the others' shares leave.
   */
  #isServableYielding(
    request: QueuedRequest,
    state: QueueState,
    reason: YieldReason,
    isQueued: boolean,
  ): boolean {
    const { targetLeftMs, timeLeftMs } = this.#computeTimeLeft(request);
    const { accountName = PUBLIC_ACCOUNT.name } = request;
    const arrivalsPerMs =
      reason === 'account-over-share'
        ? this.#accounts.getArrivalsAheadPerMs(accountName)
        : state.arrivalsPerMs;
    const latestMs = Math.min(targetLeftMs, timeLeftMs) * (isQueued ? 1 : MAX_YIELDING_WAIT_SHARE);
    return isServable(
      { ...state, arrivalsPerMs },
      { targetLeftMs: Number.NEGATIVE_INFINITY, timeLeftMs: latestMs },
    );
  }

  #findYieldReason({
    accountName = PUBLIC_ACCOUNT.name,
    priority,
  }: QueuedRequest): YieldReason | undefined {
    if (this.isOverShare(accountName)) return 'account-over-share';
    return this.#servedShares.shouldYield(priority) ? 'kind-served-more' : undefined;
  }
}
