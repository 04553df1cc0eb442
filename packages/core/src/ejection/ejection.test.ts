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
  it('ejects the worst first and stops at the floor', () => {
    const suspects = [
      { upstreamId: 'a', slots: 3, score: 5 },
      { upstreamId: 'b', slots: 3, score: 9 },
    ];
    expect(applyFloor(suspects, 10, 6)).to.deep.equal({ ejected: ['b'], keptByFloor: ['a'] });
  });
});

describe('Ejections', () => {
  // Each step lists some upstreams, accuses some, and lets some time pass, as churn and divergent
  // evidence would in any one daemon's view.
  const stepArbitrary = fc.record({
    listed: fc.subarray([0, 1, 2, 3, 4, 5, 6, 7]),
    accused: fc.subarray([0, 1, 2, 3, 4, 5, 6, 7]),
    scores: fc.array(fc.integer({ min: 1, max: 30 }), { minLength: 8, maxLength: 8 }),
    floorSlots: fc.integer({ min: 0, max: 24 }),
    elapsedMs: fc.integer({ min: 0, max: 20_000 }),
    goodAnswers: fc.subarray([0, 1, 2, 3, 4, 5, 6, 7]),
  });

  it('never take a service below its floor, whatever the evidence and churn', () => {
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
            ['healthy', 'doubtful'].includes(ejections.getStanding(id, now)),
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

  it('bring an upstream back after a trial, a few good answers long', () => {
    const ejections = new Ejections();
    runTicks(ejections, [createVerdict('a', 20)], 0);
    expect(ejections.getStanding('a', 0)).to.equal('barred');
    runTicks(ejections, [], 3000);
    expect(ejections.getStanding('a', 3000)).to.equal('trial');
    ejections.recordTrial('a', 3000);
    expect(ejections.getStanding('a', 3100)).to.equal('barred');
    Array.from({ length: 5 }).forEach(() => ejections.recordGoodAnswer('a'));
    runTicks(ejections, [], 3400);
    expect(ejections.getStanding('a', 3400)).to.equal('healthy');
  });

  it('keep a flapping upstream out for longer each time', () => {
    const ejections = new Ejections();
    runTicks(ejections, [createVerdict('a', 20)], 0);
    runTicks(ejections, [], 3000);
    runTicks(ejections, [createVerdict('a', 20)], 3100);
    runTicks(ejections, [], 3100 + 5999);
    expect(ejections.getStanding('a', 3100 + 5999)).to.equal('barred');
    runTicks(ejections, [], 3100 + 6000);
    expect(ejections.getStanding('a', 3100 + 6000)).to.equal('trial');
  });

  it('let a suspect serve last where the floor needs it', () => {
    const ejections = new Ejections();
    const available = ['a', 'b'].map((id) => createUpstream(id, 2));
    const changes = ejections.runTick({
      available,
      verdicts: [createVerdict('a', 20)],
      floorSlots: 4,
      now: 0,
    });
    expect(ejections.getStanding('a', 0)).to.equal('doubtful');
    expect(changes.map(({ change }) => change)).to.deep.equal(['kept-by-floor']);
  });
});
