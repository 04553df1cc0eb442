/**
 * The gateway's former policy: suspect at the first failure, trusted after three good answers or 4.5 s.
 */
import type { RandomSource } from '@baobabline/core';

import { chooseEmptiest } from './least-loaded-policy.js';
import type { EmulatedRequest, PlacementPolicy, SeenOutcome, SeenUpstream } from './types.js';

type Count = { readonly goodInRow: number; readonly lastFailureAt: number };

/** Good answers in a row, and time without a failure, after which trust returned formerly. */
const GOOD_TO_RETURN = 3;
const MAX_SUSPICION_MS = 4500;
const TEST_INTERVAL_MS = 200;

export class CountsPolicy implements PlacementPolicy {
  readonly #random: RandomSource;

  readonly #counts = new Map<string, Count>();

  readonly #testedAt = new Map<string, number>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  choose(
    { isRepeatable, canTryAgain }: EmulatedRequest,
    upstreams: readonly SeenUpstream[],
    now: number,
  ): string | undefined {
    const due = upstreams.filter(({ id }) => this.#isSuspect(id, now) && this.#isTestDue(id, now));
    const test = isRepeatable && canTryAgain ? chooseEmptiest(due, this.#random) : undefined;
    if (test !== undefined) {
      this.#testedAt.set(test, now);
      return test;
    }
    const trusted = upstreams.filter(({ id }) => !this.#isSuspect(id, now));
    return chooseEmptiest(trusted.length > 0 ? trusted : upstreams, this.#random);
  }

  record({ upstreamId, isGood, at }: SeenOutcome): void {
    const known = this.#counts.get(upstreamId);
    if (!isGood) this.#counts.set(upstreamId, { goodInRow: 0, lastFailureAt: at });
    else if (known && at > known.lastFailureAt) {
      this.#counts.set(upstreamId, { ...known, goodInRow: known.goodInRow + 1 });
    }
  }

  #isSuspect(id: string, now: number): boolean {
    const known = this.#counts.get(id);
    if (!known || known.goodInRow >= GOOD_TO_RETURN) return false;
    return now - known.lastFailureAt < MAX_SUSPICION_MS;
  }

  #isTestDue(id: string, now: number): boolean {
    return now - (this.#testedAt.get(id) ?? Number.NEGATIVE_INFINITY) >= TEST_INTERVAL_MS;
  }
}
