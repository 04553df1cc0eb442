import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import { UpstreamTrust } from '../trust/index.js';
import { chooseUpstream } from './index.js';

const UPSTREAMS = 20;
const SLOTS = 3;
const STEP_MS = 5;
const ATTEMPT_MS = 150;
const WINDOW_MS = 2000;
const FLOOR_SHARE = 0.7;

type Run = { readonly index: number; readonly endAt: number; readonly startedAt: number };

/**
 * Replays twelve seconds in which some upstreams fail nearly all of their requests. Returns, for
 * each window of two seconds, the share of the sound upstreams that got any request.
 */
function runGrayFailures(failing: number, everySteps: number): readonly number[] {
  const random = createRandom(failing * 31 + everySteps);
  const trust = new UpstreamTrust();
  let runs: readonly Run[] = [];
  const starts: { readonly index: number; readonly at: number }[] = [];
  const fails = (index: number, at: number): boolean =>
    random.next() < (index < failing && at >= 1000 ? 0.95 : 0.012);
  Array.from({ length: 12_000 / STEP_MS }, (_, step) => step * STEP_MS).forEach((now, step) => {
    const ended = runs.filter(({ endAt }) => endAt <= now);
    runs = runs.filter(({ endAt }) => endAt > now);
    ended.forEach(({ index, startedAt, endAt }) => {
      const isGood = endAt - startedAt === ATTEMPT_MS;
      trust.record({ upstreamId: `u${index}`, isGood, at: isGood ? startedAt : now });
    });
    if (step % everySteps !== 0) return;
    const choice = chooseUpstream(
      {
        isRepeatable: random.next() < 0.3,
        canTryAgain: true,
        mayTest: true,
        computeMaxRisk: () => 0.2,
        dataCentre: 'z',
        bodyBytes: 0,
      },
      Array.from({ length: UPSTREAMS }, (__, index) => ({
        id: `u${index}`,
        dataCentre: `z${index % 3}`,
        slots: SLOTS,
        inFlight: runs.filter((run) => run.index === index).length,
        risk: trust.getRisk(`u${index}`, now),
        isSuspect: trust.isSuspect(`u${index}`, now),
        isTestDue: trust.isSuspect(`u${index}`, now) && trust.isTestDue(`u${index}`, now),
        warmUpMs: 0,
      })),
      random,
    );
    if (!choice) return;
    const index = Number(choice.upstreamId.slice(1));
    starts.push({ index, at: now });
    const elapsed = fails(index, now) ? STEP_MS : ATTEMPT_MS;
    runs = [...runs, { index, startedAt: now, endAt: now + elapsed }];
  });
  const sound = UPSTREAMS - failing;
  return Array.from({ length: 10 }, (_, second) => 1000 + second * 1000).map((from) => {
    const used = starts.filter(
      ({ at, index }) => at >= from && at < from + WINDOW_MS && index >= failing,
    );
    return new Set(used.map(({ index }) => index)).size / sound;
  });
}

describe('the floor', () => {
  [
    [4, 2, 'some fail, room to spare'],
    [10, 2, 'half fail, little room left'],
    [4, 1, 'some fail, no room left'],
  ].forEach(([failing, everySteps, what]) => {
    it(`is kept when ${what}: sound upstreams go on getting requests`, () => {
      const shares = runGrayFailures(Number(failing), Number(everySteps));
      expect(Math.min(...shares)).to.be.at.least(FLOOR_SHARE);
    });
  });
});
