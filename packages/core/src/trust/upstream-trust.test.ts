import { expect } from 'chai';
import fc from 'fast-check';

import { createRandom } from '../runtime/index.js';
import { DEFAULT_TRUST_SETTINGS, UpstreamTrust } from './index.js';

const SETTINGS = { ...DEFAULT_TRUST_SETTINGS, testIntervalMs: 400, confirmIntervalMs: 60 };
const { model } = SETTINGS;

/**
 * Replays gray failures: every upstream fails three quarters of its requests for a part of the
 * time. Requests that may run once go where they are trusted, every fourth request tests.
 */
function runGrayFailures(isTrustUsed: boolean): number {
  const random = createRandom(7);
  const trust = new UpstreamTrust(SETTINGS);
  const ids = Array.from({ length: 20 }, (_, index) => `u${index}`);
  const spells = new Map(ids.map((id) => [id, random.next() * 9000]));
  const failsAt = (id: string, now: number): boolean => {
    const inSpell = (now + (spells.get(id) ?? 0)) % 9000 < 2700;
    return random.next() < (inSpell ? 0.75 : 0.012);
  };
  const failures = Array.from({ length: 6000 }, (_, index) => {
    const now = index * 8;
    const suspects = ids.filter((id) => trust.isSuspect(id, now) && trust.isTestDue(id, now));
    const isTest = index % 4 === 0 && suspects.length > 0;
    const trusted = ids.filter((id) => !isTrustUsed || !trust.isSuspect(id, now));
    const open = isTest ? suspects : trusted;
    const id = open[Math.floor(random.next() * open.length)] ?? 'u0';
    const isGood = !failsAt(id, now);
    trust.record({ upstreamId: id, isGood, at: now });
    return !isTest && !isGood ? 1 : 0;
  });
  return failures.reduce((sum: number, failed) => sum + failed, 0);
}

describe('trust in upstreams', () => {
  function recordAll(
    trust: UpstreamTrust,
    outcomes: string,
    startAt: number,
    stepMs = 100,
  ): readonly boolean[] {
    return [...outcomes].map((outcome, index) => {
      const at = startAt + index * stepMs;
      trust.record({ upstreamId: 'u', isGood: outcome === '+', at });
      return trust.isSuspect('u', at);
    });
  }

  it('is lost with the first failure, and comes back after one good answer if it was alone', () => {
    const trust = new UpstreamTrust(SETTINGS);
    expect(trust.isSuspect('u', 0)).to.equal(false);
    expect(recordAll(trust, '+++++-+', 0)).to.deep.equal([
      ...[false, false, false, false, false],
      true,
      false,
    ]);
  });

  it('comes back after a spell only when several answers in a row were good', () => {
    const trust = new UpstreamTrust(SETTINGS);
    recordAll(trust, '++----', 0, 300);
    expect(recordAll(trust, '+++++', 2000).slice(0, 2)).to.deep.equal([true, true]);
    expect(trust.isSuspect('u', 2500)).to.equal(false);
    recordAll(trust, '----++-++', 3000);
    expect(trust.isSuspect('u', 3900)).to.equal(true);
  });

  it('tells what changed, once', () => {
    const trust = new UpstreamTrust(SETTINGS);
    const record = (isGood: boolean, at: number): unknown =>
      trust.record({ upstreamId: 'u', isGood, at });
    expect([record(true, 0), record(false, 100), record(false, 200)]).to.deep.equal([
      undefined,
      'suspected',
      undefined,
    ]);
    const changes = [300, 400, 500, 600].map((at) => record(true, at));
    expect(changes.filter((change) => change === 'trusted')).to.have.length(1);
  });

  it('takes no good answer whose request was sent before the last failure was seen', () => {
    const trust = new UpstreamTrust(SETTINGS);
    recordAll(trust, '++-', 0);
    const risk = trust.getRisk('u', 200);
    [100, 150, 200].forEach((at) => trust.record({ upstreamId: 'u', isGood: true, at }));
    expect(trust.getRisk('u', 200)).to.equal(risk);
  });

  it('drifts to what is usual without outcomes, from both sides', () => {
    const trust = new UpstreamTrust(SETTINGS);
    recordAll(trust, '----', 0);
    const high = [300, 3000, 10_000, 100_000].map((at) => trust.getRisk('u', at));
    expect([...high].sort((left, right) => right - left)).to.deep.equal(high);
    recordAll(trust, '+++++++', 100_000);
    const low = [100_600, 105_000, 300_000].map((at) => trust.getRisk('u', at));
    expect([...low].sort((left, right) => left - right)).to.deep.equal(low);
    const bad = model.meanSpellMs / (model.meanSpellMs + model.meanSoundMs);
    const usual = model.spells.reduce(
      (sum, { share, failureShare }) => sum + bad * share * failureShare,
      (1 - bad) * model.soundFailureShare,
    );
    expect(trust.getRisk('u', 1_000_000)).to.be.closeTo(usual, 0.001);
  });

  it('keeps beliefs that are probabilities, whatever comes in whatever order', () => {
    const events = fc.array(fc.record({ isGood: fc.boolean(), at: fc.nat(100_000) }));
    fc.assert(
      fc.property(events, fc.nat(200_000), (rows, now) => {
        const trust = new UpstreamTrust(SETTINGS);
        rows.forEach((row) => trust.record({ upstreamId: 'u', ...row }));
        expect(trust.getRisk('u', now)).to.be.within(0, 1);
      }),
    );
  });

  it('tests a suspect now and then, and quickly once a test has ended well', () => {
    const trust = new UpstreamTrust(SETTINGS);
    recordAll(trust, '---', -200);
    expect([399, 400].map((at) => trust.isTestDue('u', at))).to.deep.equal([false, true]);
    trust.recordTest('u', 400);
    expect([799, 800].map((at) => trust.isTestDue('u', at))).to.deep.equal([false, true]);
    trust.record({ upstreamId: 'u', isGood: true, at: 800 });
    expect([859, 860].map((at) => trust.isTestDue('u', at))).to.deep.equal([false, true]);
  });

  it('tests an upstream that did not answer less often than one that answered badly', () => {
    const trust = new UpstreamTrust(SETTINGS);
    trust.record({ upstreamId: 'u', isGood: false, at: 0, isSilent: true });
    expect([1999, 2000].map((at) => trust.isTestDue('u', at))).to.deep.equal([false, true]);
    trust.record({ upstreamId: 'u', isGood: true, at: 2000 });
    expect([2059, 2060].map((at) => trust.isTestDue('u', at))).to.deep.equal([false, true]);
  });

  it('looks again soon at an upstream that has more likely failed by chance', () => {
    const trust = new UpstreamTrust(SETTINGS);
    recordAll(trust, '++++++-', -600);
    expect([59, 60].map((at) => trust.isTestDue('u', at))).to.deep.equal([false, true]);
  });

  it('loses less than a fifth of what is lost without it when upstreams fail grayly', () => {
    const without = runGrayFailures(false);
    const lost = runGrayFailures(true);
    expect(lost).to.be.lessThan(without / 5);
  });
});
