import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import { chooseNearFirst, chooseUpstream } from './index.js';
import type { PlacementCandidate, PlacementRequest } from './index.js';

function buildCandidate(id: string, changes: Partial<PlacementCandidate> = {}): PlacementCandidate {
  return {
    id,
    dataCentre: 'z1',
    slots: 3,
    inFlight: 0,
    failureProbability: 0.01,
    isSuspect: false,
    isTestDue: false,
    warmUpMs: 0,
    ...changes,
  };
}

const NON_REPEATABLE: PlacementRequest = {
  isRepeatable: false,
  canTryAgain: true,
  mayTest: true,
  computeMaxFailureProbability: () => 0.2,
  dataCentre: 'z1',
  bodyBytes: 0,
};
const REPEATABLE: PlacementRequest = { ...NON_REPEATABLE, isRepeatable: true };

function choose(
  request: PlacementRequest,
  candidates: readonly PlacementCandidate[],
): string | undefined {
  return chooseUpstream(request, candidates, createRandom(3))?.upstreamId;
}

describe('chooseUpstream', () => {
  it('chooses no upstream without a free slot', () => {
    expect(choose(REPEATABLE, [buildCandidate('a', { inFlight: 3 })])).to.equal(undefined);
    expect(choose(REPEATABLE, [])).to.equal(undefined);
  });

  it('lets a non-repeatable request wait rather than sending it to a suspect', () => {
    const full = buildCandidate('full', { inFlight: 3 });
    const suspect = buildCandidate('suspect', {
      isSuspect: true,
      failureProbability: 0.8,
      isTestDue: true,
    });
    expect(choose(NON_REPEATABLE, [full, suspect])).to.equal(undefined);
    expect(choose(REPEATABLE, [full, suspect])).to.equal('suspect');
  });

  it('accepts a suspect up to the maximum failure probability, and only without a trusted one', () => {
    const full = buildCandidate('full', { inFlight: 3 });
    const risky = buildCandidate('risky', { isSuspect: true, failureProbability: 0.4 });
    const worse = buildCandidate('worse', { isSuspect: true, failureProbability: 0.7 });
    expect(choose(NON_REPEATABLE, [full, risky, worse])).to.equal(undefined);
    expect(
      choose({ ...NON_REPEATABLE, computeMaxFailureProbability: () => 0.45 }, [full, worse, risky]),
    ).to.equal('risky');
    const trusted = buildCandidate('trusted', { inFlight: 2 });
    expect(
      choose({ ...NON_REPEATABLE, computeMaxFailureProbability: () => 0.9 }, [trusted, risky]),
    ).to.equal('trusted');
  });

  it('sends a non-repeatable request to the most reliable upstream, not to the least loaded', () => {
    const reliable = buildCandidate('proved', { inFlight: 1, failureProbability: 0.015 });
    const unreliable = buildCandidate('unproved', { failureProbability: 0.15 });
    expect(choose(NON_REPEATABLE, [reliable, unreliable])).to.equal('proved');
    expect(choose(REPEATABLE, [reliable, unreliable])).to.equal('unproved');
  });

  it('spreads repeatable requests over all trusted upstreams, so that each one stays observed', () => {
    const random = createRandom(9);
    const candidates = [
      buildCandidate('proved', { failureProbability: 0.013 }),
      buildCandidate('unproved', { failureProbability: 0.15 }),
    ];
    const chosen = Array.from({ length: 200 }, () =>
      chooseUpstream(REPEATABLE, candidates, random),
    );
    const counts = candidates.map(
      ({ id }) => chosen.filter((choice) => choice?.upstreamId === id).length,
    );
    expect(Math.min(...counts)).to.be.greaterThan(60);
  });

  it('lets a repeatable request wait if the retry budget could not bear a failure', () => {
    const full = buildCandidate('full', { inFlight: 3 });
    const suspect = buildCandidate('suspect', { isSuspect: true, failureProbability: 0.8 });
    expect(choose(REPEATABLE, [full, suspect])).to.equal('suspect');
    expect(choose({ ...REPEATABLE, mayTest: false }, [full, suspect])).to.equal(undefined);
  });

  it('uses suspects for all requests if every upstream is a suspect', () => {
    const suspect = buildCandidate('suspect', { isSuspect: true, failureProbability: 0.8 });
    expect(choose(NON_REPEATABLE, [suspect])).to.equal('suspect');
  });

  it('tests a suspect that is due, with a request that can be retried', () => {
    const trusted = buildCandidate('trusted');
    const due = buildCandidate('due', {
      isSuspect: true,
      failureProbability: 0.8,
      isTestDue: true,
    });
    expect(choose(REPEATABLE, [trusted, due])).to.equal('due');
    expect(choose(NON_REPEATABLE, [trusted, due])).to.equal('trusted');
    expect(choose({ ...REPEATABLE, canTryAgain: false }, [trusted, due])).to.equal('trusted');
    expect(choose({ ...REPEATABLE, mayTest: false }, [trusted, due])).to.equal('trusted');
    expect(choose(REPEATABLE, [trusted, { ...due, isTestDue: false }])).to.equal('trusted');
    expect(choose(REPEATABLE, [trusted, { ...due, inFlight: 3 }])).to.equal('trusted');
  });

  it('keeps a large body in the near data centre even if far upstreams have lower load', () => {
    const near = buildCandidate('near', { inFlight: 19, slots: 20 });
    const far = buildCandidate('far', { dataCentre: 'z2' });
    expect(choose({ ...NON_REPEATABLE, bodyBytes: 60_000 }, [near, far])).to.equal('near');
    expect(choose(NON_REPEATABLE, [near, far])).to.equal('far');
  });

  it('prefers the lower load, and a warm upstream to one that is warming up', () => {
    const busy = buildCandidate('busy', { inFlight: 2 });
    expect(choose(NON_REPEATABLE, [busy, buildCandidate('empty')])).to.equal('empty');
    const cold = buildCandidate('cold', { warmUpMs: 2000 });
    expect(choose(NON_REPEATABLE, [buildCandidate('warm', { inFlight: 1 }), cold])).to.equal(
      'warm',
    );
  });

  it('uses a far upstream only for a free slot or a clearly lower failure probability', () => {
    const far = buildCandidate('far', { dataCentre: 'z2' });
    expect(choose(NON_REPEATABLE, [buildCandidate('near', { inFlight: 2 }), far])).to.equal('near');
    expect(
      choose(NON_REPEATABLE, [buildCandidate('near', { failureProbability: 0.1 }), far]),
    ).to.equal('near');
    expect(choose(NON_REPEATABLE, [buildCandidate('near', { inFlight: 3 }), far])).to.equal('far');
    expect(
      choose(NON_REPEATABLE, [buildCandidate('near', { failureProbability: 0.18 }), far]),
    ).to.equal('far');
  });

  it('scans far upstreams only if no near one is good enough, at the same failure probability', () => {
    const random = createRandom(5);
    const draws = Array.from({ length: 400 }, () => {
      const candidates = Array.from({ length: 280 }, (_, index) =>
        buildCandidate(`u${index}`, {
          dataCentre: `z${1 + (index % 5)}`,
          inFlight: Math.floor(random.next() * 4),
          failureProbability: random.next() * 0.2,
        }),
      );
      const near = candidates.filter(({ dataCentre }) => dataCentre === 'z1');
      let fullScans = 0;
      const seed = Math.floor(random.next() * 1e6);
      const choice = chooseNearFirst(
        NON_REPEATABLE,
        near,
        () => {
          fullScans += 1;
          return candidates;
        },
        createRandom(seed),
      );
      const full = chooseUpstream(NON_REPEATABLE, candidates, createRandom(seed));
      const find = (id: string | undefined): PlacementCandidate | undefined =>
        candidates.find((candidate) => candidate.id === id);
      return { looks: fullScans, chosen: find(choice?.upstreamId), best: find(full?.upstreamId) };
    });
    const looks = draws.reduce((sum, draw) => sum + draw.looks, 0);
    expect(looks).to.be.lessThan(20);
    const computeMeanFailureProbability = (pick: 'chosen' | 'best'): number =>
      draws.reduce((sum, draw) => sum + (draw[pick]?.failureProbability ?? 1), 0) / draws.length;
    expect(computeMeanFailureProbability('chosen')).to.be.lessThan(
      computeMeanFailureProbability('best') + 0.01,
    );
  });
});
