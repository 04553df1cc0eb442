import { expect } from 'chai';
import fc from 'fast-check';

import type { Verdict } from '../detection/index.js';
import type { Upstream } from '../lists/index.js';
import { applyFloor, Ejections } from './index.js';

function createUpstream(id: string, slots: number): Upstream {
  return {
    id,
    slots,
    address: '127.0.0.1',
    port: 1,
    dataCentre: 'dc-1',
    service: 'visit-desk',
    connections: 330,
    state: 'live',
  };
}

function createVerdict(upstreamId: string, score: number): Verdict {
  return { upstreamId, scope: 'fleet', score, accusers: ['x', 'y'] };
}

function sumSlots(upstreams: readonly Upstream[]): number {
  return upstreams.reduce((sum, { slots }) => sum + slots, 0);
}

describe('applyFloor', () => {
  it('ejects the suspect with the highest score first and stops at the floor', () => {
    const suspects = [
      { upstreamId: 'a', slots: 3, score: 5 },
      { upstreamId: 'b', slots: 3, score: 9 },
    ];
    expect(applyFloor(suspects, 10, 6)).to.deep.equal({ ejected: ['b'], keptByFloor: ['a'] });
  });
});

describe('Ejections', () => {
  // In each step some upstreams are available, some are accused, and some time passes. This covers
  // the changes of membership and evidence that a daemon may see.
  const stepArbitrary = fc.record({
    listed: fc.subarray([0, 1, 2, 3, 4, 5, 6, 7]),
    accused: fc.subarray([0, 1, 2, 3, 4, 5, 6, 7]),
    scores: fc.array(fc.integer({ min: 1, max: 30 }), { minLength: 8, maxLength: 8 }),
    floorSlots: fc.integer({ min: 0, max: 24 }),
    elapsedMs: fc.integer({ min: 0, max: 20_000 }),
    goodAnswers: fc.subarray([0, 1, 2, 3, 4, 5, 6, 7]),
  });

  it('never take a service below its floor, for any sequence of evidence and membership changes', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { minLength: 1, maxLength: 20 }), (steps) => {
        const ejections = new Ejections();
        let now = 0;
        steps.forEach((step) => {
          now += step.elapsedMs;
          const available = step.listed.map((index) =>
            createUpstream(`up-${index}`, 1 + (index % 3)),
          );
          const verdicts = step.accused.map((index) =>
            createVerdict(`up-${index}`, step.scores[index] ?? 1),
          );
          step.goodAnswers.forEach((index) => ejections.recordGoodAnswer(`up-${index}`));
          ejections.runTick({ available, verdicts, floorSlots: step.floorSlots, now });
          const serving = available.filter(({ id }) =>
            ['healthy', 'suspect'].includes(ejections.getHealth(id, now)),
          );
          const needed = Math.min(step.floorSlots, sumSlots(available));
          expect(sumSlots(serving)).to.be.at.least(needed);
        });
      }),
      { seed: 3, numRuns: 500 },
    );
  });

  function runTicks(ejections: Ejections, verdicts: readonly Verdict[], now: number): void {
    const available = ['a', 'b', 'c'].map((id) => createUpstream(id, 2));
    ejections.runTick({ available, verdicts, floorSlots: 2, now });
  }

  it('bring an upstream back after five good answers on trial', () => {
    const ejections = new Ejections();
    runTicks(ejections, [createVerdict('a', 20)], 0);
    expect(ejections.getHealth('a', 0)).to.equal('barred');
    runTicks(ejections, [], 3000);
    expect(ejections.getHealth('a', 3000)).to.equal('trial');
    ejections.recordTrial('a', 3000);
    expect(ejections.getHealth('a', 3100)).to.equal('barred');
    Array.from({ length: 5 }).forEach(() => ejections.recordGoodAnswer('a'));
    runTicks(ejections, [], 3400);
    expect(ejections.getHealth('a', 3400)).to.equal('healthy');
  });

  it('double the ejection time of an upstream that is ejected again', () => {
    const ejections = new Ejections();
    runTicks(ejections, [createVerdict('a', 20)], 0);
    runTicks(ejections, [], 3000);
    runTicks(ejections, [createVerdict('a', 20)], 3100);
    runTicks(ejections, [], 3100 + 5999);
    expect(ejections.getHealth('a', 3100 + 5999)).to.equal('barred');
    runTicks(ejections, [], 3100 + 6000);
    expect(ejections.getHealth('a', 3100 + 6000)).to.equal('trial');
  });

  it('keep a suspect in use as the last choice where the floor needs its slots', () => {
    const ejections = new Ejections();
    const available = ['a', 'b'].map((id) => createUpstream(id, 2));
    const changes = ejections.runTick({
      available,
      verdicts: [createVerdict('a', 20)],
      floorSlots: 4,
      now: 0,
    });
    expect(ejections.getHealth('a', 0)).to.equal('suspect');
    expect(changes.map(({ change }) => change)).to.deep.equal(['kept-by-floor']);
  });
});
