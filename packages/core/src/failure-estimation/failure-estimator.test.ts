import { expect } from 'chai';
import fc from 'fast-check';

import { createRandom } from '../runtime/index.js';
import { DEFAULT_UPSTREAM_ESTIMATOR_SETTINGS, FailureEstimator } from './index.js';

const SETTINGS = {
  ...DEFAULT_UPSTREAM_ESTIMATOR_SETTINGS,
  testIntervalMs: 400,
  confirmIntervalMs: 60,
};
const { model } = SETTINGS;

/**
 * Simulates partial failures: each upstream fails three quarters of its requests for a part of the
 * time. Every fourth request tests a suspect that is due; the others go to trusted upstreams, or to
 * any upstream if `avoidsSuspects` is false. Returns the number of failures other than tests.
 */
function simulatePartialFailures(avoidsSuspects: boolean): number {
  const random = createRandom(7);
  const estimator = new FailureEstimator(SETTINGS);
  const ids = Array.from({ length: 20 }, (_, index) => `u${index}`);
  const episodeOffsets = new Map(ids.map((id) => [id, random.next() * 9000]));
  const failsAt = (id: string, now: number): boolean => {
    const inEpisode = (now + (episodeOffsets.get(id) ?? 0)) % 9000 < 2700;
    return random.next() < (inEpisode ? 0.75 : 0.012);
  };
  const failures = Array.from({ length: 6000 }, (_, index) => {
    const now = index * 8;
    const suspects = ids.filter(
      (id) => estimator.isSuspect(id, now) && estimator.isTestDue(id, now),
    );
    const isTest = index % 4 === 0 && suspects.length > 0;
    const trusted = ids.filter((id) => !avoidsSuspects || !estimator.isSuspect(id, now));
    const eligible = isTest ? suspects : trusted;
    const id = eligible[Math.floor(random.next() * eligible.length)] ?? 'u0';
    const isGood = !failsAt(id, now);
    estimator.record({ upstreamId: id, isGood, at: now });
    return !isTest && !isGood ? 1 : 0;
  });
  return failures.reduce((sum: number, failed) => sum + failed, 0);
}

describe('FailureEstimator', () => {
  function recordAll(
    estimator: FailureEstimator,
    outcomes: string,
    startAt: number,
    stepMs = 100,
  ): readonly boolean[] {
    return [...outcomes].map((outcome, index) => {
      const at = startAt + index * stepMs;
      estimator.record({ upstreamId: 'u', isGood: outcome === '+', at });
      return estimator.isSuspect('u', at);
    });
  }

  it('suspects an upstream after one failure, and trusts it again after one good answer', () => {
    const estimator = new FailureEstimator(SETTINGS);
    expect(estimator.isSuspect('u', 0)).to.equal(false);
    expect(recordAll(estimator, '+++++-+', 0)).to.deep.equal([
      ...[false, false, false, false, false],
      true,
      false,
    ]);
  });

  it('trusts an upstream after a failure episode only when several answers in a row are good', () => {
    const estimator = new FailureEstimator(SETTINGS);
    recordAll(estimator, '++----', 0, 300);
    expect(recordAll(estimator, '+++++', 2000).slice(0, 2)).to.deep.equal([true, true]);
    expect(estimator.isSuspect('u', 2500)).to.equal(false);
    recordAll(estimator, '----++-++', 3000);
    expect(estimator.isSuspect('u', 3900)).to.equal(true);
  });

  it('reports each change of trust once', () => {
    const estimator = new FailureEstimator(SETTINGS);
    const record = (isGood: boolean, at: number): unknown =>
      estimator.record({ upstreamId: 'u', isGood, at });
    expect([record(true, 0), record(false, 100), record(false, 200)]).to.deep.equal([
      undefined,
      'suspected',
      undefined,
    ]);
    const changes = [300, 400, 500, 600].map((at) => record(true, at));
    expect(changes.filter((change) => change === 'trusted')).to.have.length(1);
  });

  it('ignores a good answer whose request was sent before the last failure was seen', () => {
    const estimator = new FailureEstimator(SETTINGS);
    recordAll(estimator, '++-', 0);
    const failureProbability = estimator.getFailureProbability('u', 200);
    [100, 150, 200].forEach((at) => estimator.record({ upstreamId: 'u', isGood: true, at }));
    expect(estimator.getFailureProbability('u', 200)).to.equal(failureProbability);
  });

  it('converges to the steady state without outcomes, from above and from below', () => {
    const estimator = new FailureEstimator(SETTINGS);
    recordAll(estimator, '----', 0);
    const high = [300, 3000, 10_000, 100_000].map((at) => estimator.getFailureProbability('u', at));
    expect([...high].sort((left, right) => right - left)).to.deep.equal(high);
    recordAll(estimator, '+++++++', 100_000);
    const low = [100_600, 105_000, 300_000].map((at) => estimator.getFailureProbability('u', at));
    expect([...low].sort((left, right) => left - right)).to.deep.equal(low);
    const inEpisode = model.meanEpisodeMs / (model.meanEpisodeMs + model.meanHealthyMs);
    const steadyState = model.episodeKinds.reduce(
      (sum, { share, failureProbability: failureShare }) => sum + inEpisode * share * failureShare,
      (1 - inEpisode) * model.healthyFailureProbability,
    );
    expect(estimator.getFailureProbability('u', 1_000_000)).to.be.closeTo(steadyState, 0.001);
  });

  it('keeps failure probabilities between 0 and 1 for any outcomes in any order', () => {
    const events = fc.array(fc.record({ isGood: fc.boolean(), at: fc.nat(100_000) }));
    fc.assert(
      fc.property(events, fc.nat(200_000), (rows, now) => {
        const estimator = new FailureEstimator(SETTINGS);
        rows.forEach((row) => estimator.record({ upstreamId: 'u', ...row }));
        expect(estimator.getFailureProbability('u', now)).to.be.within(0, 1);
      }),
    );
  });

  it('tests a suspect at the test interval, and sooner after a good answer', () => {
    const estimator = new FailureEstimator(SETTINGS);
    recordAll(estimator, '---', -200);
    expect([399, 400].map((at) => estimator.isTestDue('u', at))).to.deep.equal([false, true]);
    estimator.recordTest('u', 400);
    expect([799, 800].map((at) => estimator.isTestDue('u', at))).to.deep.equal([false, true]);
    estimator.record({ upstreamId: 'u', isGood: true, at: 800 });
    expect([859, 860].map((at) => estimator.isTestDue('u', at))).to.deep.equal([false, true]);
  });

  it('tests an upstream that timed out less often than one that answered with a failure', () => {
    const estimator = new FailureEstimator(SETTINGS);
    estimator.record({ upstreamId: 'u', isGood: false, at: 0, isSilent: true });
    expect([1999, 2000].map((at) => estimator.isTestDue('u', at))).to.deep.equal([false, true]);
    estimator.record({ upstreamId: 'u', isGood: true, at: 2000 });
    expect([2059, 2060].map((at) => estimator.isTestDue('u', at))).to.deep.equal([false, true]);
  });

  it('tests an upstream again soon if its failure was probably a chance failure', () => {
    const estimator = new FailureEstimator(SETTINGS);
    recordAll(estimator, '++++++-', -600);
    expect([59, 60].map((at) => estimator.isTestDue('u', at))).to.deep.equal([false, true]);
  });

  it('avoids more than four fifths of the failures of upstreams that fail partially', () => {
    const failuresWithoutEstimator = simulatePartialFailures(false);
    const failuresAvoidingSuspects = simulatePartialFailures(true);
    expect(failuresAvoidingSuspects).to.be.lessThan(failuresWithoutEstimator / 5);
  });
});
