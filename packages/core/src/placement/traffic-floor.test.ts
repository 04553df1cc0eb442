import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import { FailureEstimator } from '../failure-estimation/index.js';
import { chooseUpstream } from './index.js';

const UPSTREAMS = 20;
const SLOTS = 3;
const STEP_MS = 5;
const ATTEMPT_MS = 150;
const WINDOW_MS = 2000;
const FLOOR_SHARE = 0.7;

type Attempt = { readonly index: number; readonly endAt: number; readonly startedAt: number };

/**
 * Simulates twelve seconds in which some upstreams fail nearly all of their requests. Returns, for
 * each window of two seconds, the share of the healthy upstreams that received a request.
 */
function simulatePartialFailures(
  failingCount: number,
  arrivalIntervalSteps: number,
): readonly number[] {
  const random = createRandom(failingCount * 31 + arrivalIntervalSteps);
  const estimator = new FailureEstimator();
  let running: readonly Attempt[] = [];
  const starts: { readonly index: number; readonly at: number }[] = [];
  const fails = (index: number, at: number): boolean =>
    random.next() < (index < failingCount && at >= 1000 ? 0.95 : 0.012);
  Array.from({ length: 12_000 / STEP_MS }, (_, step) => step * STEP_MS).forEach((now, step) => {
    const ended = running.filter(({ endAt }) => endAt <= now);
    running = running.filter(({ endAt }) => endAt > now);
    ended.forEach(({ index, startedAt, endAt }) => {
      const isGood = endAt - startedAt === ATTEMPT_MS;
      estimator.record({ upstreamId: `u${index}`, isGood, at: isGood ? startedAt : now });
    });
    if (step % arrivalIntervalSteps !== 0) return;
    const choice = chooseUpstream(
      {
        isRepeatable: random.next() < 0.3,
        canTryAgain: true,
        mayTest: true,
        computeMaxFailureProbability: () => 0.2,
        dataCentre: 'z',
        bodyBytes: 0,
      },
      Array.from({ length: UPSTREAMS }, (__, index) => ({
        id: `u${index}`,
        dataCentre: `z${index % 3}`,
        slots: SLOTS,
        inFlight: running.filter((run) => run.index === index).length,
        failureProbability: estimator.getFailureProbability(`u${index}`, now),
        isSuspect: estimator.isSuspect(`u${index}`, now),
        isTestDue: estimator.isSuspect(`u${index}`, now) && estimator.isTestDue(`u${index}`, now),
        warmUpMs: 0,
      })),
      random,
    );
    if (!choice) return;
    const index = Number(choice.upstreamId.slice(1));
    starts.push({ index, at: now });
    const elapsed = fails(index, now) ? STEP_MS : ATTEMPT_MS;
    running = [...running, { index, startedAt: now, endAt: now + elapsed }];
  });
  const healthyCount = UPSTREAMS - failingCount;
  return Array.from({ length: 10 }, (_, second) => 1000 + second * 1000).map((from) => {
    const used = starts.filter(
      ({ at, index }) => at >= from && at < from + WINDOW_MS && index >= failingCount,
    );
    return new Set(used.map(({ index }) => index)).size / healthyCount;
  });
}

describe('the traffic floor for healthy upstreams', () => {
  [
    [4, 2, 'some upstreams fail and many slots are free'],
    [10, 2, 'half of the upstreams fail and few slots are free'],
    [4, 1, 'some upstreams fail and no slot is free'],
  ].forEach(([failing, everySteps, what]) => {
    it(`is kept when ${what}: healthy upstreams keep receiving requests`, () => {
      const shares = simulatePartialFailures(Number(failing), Number(everySteps));
      expect(Math.min(...shares)).to.be.at.least(FLOOR_SHARE);
    });
  });
});
