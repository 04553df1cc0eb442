/**
 * The gateway's own decisions.
 */
import { chooseUpstream, FailureEstimator } from '@baobabline/core';
import type { RandomSource } from '@baobabline/core';

import type { EmulatedRequest, PlacementPolicy, SeenOutcome, SeenUpstream } from './types.js';

/** The risk that is taken rather than wait; the emulator's line is not judged as the gateway's is. */
const MAX_RISK = 0.4;

export class RiskPolicy implements PlacementPolicy {
  readonly #random: RandomSource;

  readonly #trust = new FailureEstimator();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  choose(
    request: EmulatedRequest,
    upstreams: readonly SeenUpstream[],
    now: number,
  ): string | undefined {
    const choice = chooseUpstream(
      {
        ...request,
        mayTest: true,
        computeMaxFailureProbability: () => MAX_RISK,
        dataCentre: 'z',
        bodyBytes: 0,
      },
      upstreams.map((upstream) => ({
        ...upstream,
        dataCentre: 'z',
        failureProbability: this.#trust.getFailureProbability(upstream.id, now),
        isSuspect: this.#trust.isSuspect(upstream.id, now),
        isTestDue: this.#trust.isTestDue(upstream.id, now),
        warmUpMs: 0,
      })),
      this.#random,
    );
    if (choice?.reason === 'test') this.#trust.recordTest(choice.upstreamId, now);
    return choice?.upstreamId;
  }

  record(outcome: SeenOutcome): void {
    this.#trust.record(outcome);
  }
}
