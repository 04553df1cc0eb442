/**
 * The slots that a far data centre can spare.
 *
 * Load pattern: waves that peak in one data centre after the other, and a spike that fills all of them.
 * What the data centre's own dispatchers will need during an attempt is left to them: their requests
 * in flight, the trend of these, and a reserve for fluctuations. A data centre that is short of
 * slots is closed, and opens again only with clearly more free slots, so that two full data centres
 * don't exchange requests.
 */
import type { DataCentreLoad } from './fleet-loads.js';

/** Time constants of the two averages whose difference is the trend. */
const FAST_MS = 300;
const SLOW_MS = 1500;
/** Kept free for fluctuations: a share of the slots, or of the root of their number if that is more. */
const RESERVE_SHARE = 0.02;
const RESERVE_ROOT_SHARE = 0.25;
/** Free slots, in reserves, below which a data centre is closed, and from which it opens again. */
const CLOSE_BELOW = 0.5;
const OPEN_FROM = 1.5;

/**
 * Share of the slots used without any news of the load. Too many requests there are shed, which costs
 * retries, but the alternative is to refuse them for certain.
 */
const BLIND_SHARE = 0.25;

/** Quotas are computed anew this often: as often as news of the other takers arrives. */
const QUOTA_MAX_AGE_MS = 300;
/** Weight of the fixed parts in a quota, against that of what is left over. */
const FIXED_PART_WEIGHT = 0.2;

export type SpareSlots = {
  /** Most requests that this dispatcher may have in flight there. */
  readonly quota: number;
  readonly isOpen: boolean;
  /** Share of the slots in use, from 0 to 1. */
  readonly utilization: number;
};

/** What this dispatcher uses, and its fixed part of what the data centre can spare, from 0 to 1. */
export type OwnUse = { readonly inFlight: number; readonly part: number };

/**
 * Computes how many of the spare slots this dispatcher may use. Half of it is a fixed part; the other
 * half lets it keep what it has and take its part of what nobody uses. Both halves add up to the
 * spare slots over all dispatchers, also if all of them act on the same news at the same moment.
 */
function computeQuota(spare: number, foreign: number, { inFlight, part }: OwnUse): number {
  const kept =
    foreign <= spare ? inFlight + part * (spare - foreign) : (inFlight * spare) / foreign;
  return part * spare * FIXED_PART_WEIGHT + kept * (1 - FIXED_PART_WEIGHT);
}

export class SpareCapacity {
  #fast: number | undefined;

  #slow = 0;

  #updatedAt = 0;

  #isOpen = true;

  #quota = { at: Number.NEGATIVE_INFINITY, value: 0 };

  /** Takes in the state of the data centre; `horizonMs` is how long a request occupies a slot. */
  refresh(
    slots: number,
    load: DataCentreLoad,
    own: OwnUse,
    horizonMs: number,
    now: number,
  ): SpareSlots {
    const { native, foreign, confidence } = load;
    this.#recordNative(native, now);
    const reserve = Math.max(slots * RESERVE_SHARE, Math.sqrt(slots) * RESERVE_ROOT_SHARE);
    const expected = native + this.#computeRise(horizonMs);
    const known = Math.max(0, slots - expected - reserve);
    const spare = known * confidence + slots * BLIND_SHARE * (1 - confidence);
    const free = slots - (native + foreign) * confidence;
    this.#isOpen = slots > 0 && free >= reserve * (this.#isOpen ? CLOSE_BELOW : OPEN_FROM);
    const utilization = slots === 0 ? 1 : Math.min(1, (native + foreign) / slots);
    if (now - this.#quota.at >= QUOTA_MAX_AGE_MS) {
      this.#quota = { at: now, value: computeQuota(spare, foreign, own) };
    }
    return { quota: this.#quota.value, isOpen: this.#isOpen && spare > 0, utilization };
  }

  /** Computes by how much the data centre's own requests will have risen. */
  #computeRise(horizonMs: number): number {
    const perMs = ((this.#fast ?? 0) - this.#slow) / (SLOW_MS - FAST_MS);
    return Math.max(0, perMs * horizonMs);
  }

  #recordNative(native: number, now: number): void {
    const elapsedMs = now - this.#updatedAt;
    this.#updatedAt = now;
    if (this.#fast === undefined) {
      this.#fast = native;
      this.#slow = native;
      return;
    }
    this.#fast += (native - this.#fast) * (1 - Math.exp(-elapsedMs / FAST_MS));
    this.#slow += (native - this.#slow) * (1 - Math.exp(-elapsedMs / SLOW_MS));
  }
}
