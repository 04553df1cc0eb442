/**
 * Which of an account's tokens a daemon may use before the others have heard of it.
 *
 * Load patterns:
 * - A flood through many daemons at once. Each may use a share of the tokens in proportion to its
 *   part of the recent demand, so that the shares add up to one. A daemon's own demand counts only
 *   once the others must have heard of it, and that of others at once, so that while demand moves
 *   the sum stays below one.
 * - An account that appears at a daemon without requests before. A part of the tokens is divided
 *   equally among the dispatchers, whatever their demand.
 * - A small account through many daemons, whose shares are all less than one token. A bounded number
 *   of daemons may take one token nevertheless: first those with demand, then other dispatchers, by
 *   rendezvous hashing. Each further one waits for a few more tokens, so that a flood does not make
 *   all of them take one at the same moment.
 * - A flood through more daemons than may take single tokens. Their shares are rounded up or down by
 *   chance, drawn once between two reports.
 */
import type { HashText } from '../runtime/index.js';
import type { QuotaLimits } from './quota-limits.js';
import type { FleetUsage } from './types.js';

/** Demand of a daemon for an account, as a decaying count of its requests. */
export type DaemonDemand = {
  readonly id: string;
  readonly demand: number;
  /** Whether it had a request of the account lately. */
  readonly isActive: boolean;
};

export type ShareInput = {
  readonly accountName: string;
  readonly selfId: string;
  /** Own demand that the others must have heard of. */
  readonly ownDemand: number;
  /** Whether the others must have heard that this daemon had a request lately. */
  readonly isActive: boolean;
  readonly others: readonly DaemonDemand[];
  readonly dispatcherIds: readonly string[];
  readonly hash: HashText;
};

export type TokenShare = {
  /** Part of the tokens by recent demand, from 0 to 1. */
  readonly share: number;
  /** Part of the tokens whatever the demand, from 0 to 1. */
  readonly equalShare: number;
  /** Position among the daemons that may take a single token; infinite if this one may not. */
  readonly rank: number;
};

export type GrantInput = TokenShare & {
  /** Tokens that are left, own admissions that others may not know of included. */
  readonly tokens: number;
  /** Own admissions that others may not know of. */
  readonly unknownToOthers: number;
  readonly limits: QuotaLimits;
  readonly refillPerMs: number;
  /** Drawn uniformly from 0 to 1 once between two reports. */
  readonly draw: number;
};

/** Part of the tokens that is divided by demand. */
const DEMAND_PART = 0.8;
/** Part of the tokens that is divided equally among the dispatchers. */
const EQUAL_PART = 0.5;
/** While tokens are plentiful, so many more daemons may take a single one. */
const SINGLES_PER_TOKEN = 0.5;
/** Time in which a taken token is reported to the next daemon in rank. */
const RANK_STEP_MS = 20;
/** Range of hashes of 32 bits. */
export const HASH_RANGE = 2 ** 32;

function computeRank(input: ShareInput): number {
  const { accountName, selfId, isActive, others, dispatcherIds, hash } = input;
  const score = (id: string): number => hash(`${accountName}|${id}`);
  const own = score(selfId);
  const active = others.filter((other) => other.isActive);
  if (isActive) return active.filter(({ id }) => score(id) > own).length;
  if (!dispatcherIds.includes(selfId)) return Number.POSITIVE_INFINITY;
  const activeIds = new Set(active.map(({ id }) => id));
  const idle = dispatcherIds.filter((id) => !activeIds.has(id));
  return active.length + idle.filter((id) => score(id) > own).length;
}

/** The share of a daemon that knows the demand of all others. */
export function computeTokenShare(input: ShareInput): TokenShare {
  const { ownDemand, others, dispatcherIds, selfId } = input;
  const total = others.reduce((sum, { demand }) => sum + demand, ownDemand);
  const byDemand = total > 0 ? ownDemand / total : 0;
  const isDispatcher = dispatcherIds.includes(selfId);
  return {
    share: DEMAND_PART * byDemand,
    equalShare: isDispatcher ? EQUAL_PART / dispatcherIds.length : 0,
    rank: computeRank(input),
  };
}

/**
 * The share of a daemon that knows the demand of the fleet as a sum only. Its rank is the one that
 * it is expected to have among the daemons with demand.
 */
export function computeFollowerShare(
  { accountName, selfId, ownDemand, isActive, hash }: Omit<ShareInput, 'others' | 'dispatcherIds'>,
  fleet: FleetUsage | undefined,
  daemonCount: number,
): TokenShare {
  const total = Math.max(ownDemand, fleet?.demand ?? 0);
  const position = 1 - hash(`${accountName}|${selfId}`) / HASH_RANGE;
  const active = fleet?.activeDaemons ?? 0;
  return {
    share: total > 0 ? (DEMAND_PART * ownDemand) / total : 0,
    equalShare: 0,
    rank: Math.floor(
      isActive ? position * active : active + position * Math.max(0, daemonCount - active),
    ),
  };
}

/** Returns whether one more request may be admitted before the next report. */
export function mayGrant(input: GrantInput): boolean {
  const { tokens, unknownToOthers, share, equalShare, rank, limits, refillPerMs, draw } = input;
  const left = tokens - unknownToOthers;
  if (left < 1) return false;
  const granted = share * Math.min(tokens, limits.maxGranted) + equalShare * tokens;
  const step = Math.min(refillPerMs * RANK_STEP_MS, (limits.capacity - 1) / limits.maxSingleTakers);
  const mayTakeSingle =
    rank < limits.maxSingleTakers + SINGLES_PER_TOKEN * tokens && left >= 1 + rank * step;
  return unknownToOthers + 1 <= granted + (mayTakeSingle ? 1 : draw);
}
