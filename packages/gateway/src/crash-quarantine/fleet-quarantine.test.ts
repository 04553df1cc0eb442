import { expect } from 'chai';
import { mock } from 'node:test';

import { SimulatedQuarantineFleet } from './simulated-quarantine-fleet.js';

const STEP_MS = 5;
const MINUTE_MS = 60_000;
/** Time after the third crash from which retries count, and how many the fleet may send. */
const SETTLE_MS = 3000;
const MAX_LATE_RUNS = 3;
const SEEDS = [1, 2, 3];

describe('the quarantine of a fleet', () => {
  beforeEach(() => mock.timers.enable({ apis: ['setTimeout'] }));
  afterEach(() => mock.timers.reset());

  function pass(
    fleet: SimulatedQuarantineFleet,
    lengthMs: number,
    act: (at: number) => void = () => undefined,
  ): void {
    Array.from({ length: lengthMs / STEP_MS }).forEach(() => {
      fleet.advance(STEP_MS);
      mock.timers.tick(STEP_MS);
      act(fleet.now);
    });
  }

  /** Sends a harmful request to daemons drawn at random at an interval. */
  function sendHarmful(fleet: SimulatedQuarantineFleet, intervalMs: number): (at: number) => void {
    return (at) => {
      if (at % intervalMs === 0) fleet.sendRequest(fleet.drawDaemon(), 'harmful', true);
    };
  }

  function countLateRuns({ runs }: SimulatedQuarantineFleet): number {
    const thirdAt = runs[2]?.at ?? Number.POSITIVE_INFINITY;
    return runs.filter(({ at }) => at > thirdAt + SETTLE_MS).length;
  }

  [6, 36, 293].forEach((daemonCount) => {
    describe(`of ${daemonCount} daemons`, () => {
      function createFleet(seed: number, lossShare = 0.1): SimulatedQuarantineFleet {
        return new SimulatedQuarantineFleet({ seed, daemonCount, lossShare });
      }

      SEEDS.forEach((seed) => {
        it(`stops a harmful request at all daemons after two crashes (seed ${seed})`, () => {
          const fleet = createFleet(seed);
          pass(fleet, 10_000, sendHarmful(fleet, 500));
          expect(fleet.runs.length).to.be.at.most(3);
          expect(fleet.ids.every((id) => fleet.isQuarantined(id, 'harmful'))).to.equal(true);
        });

        it(`tries it once when the quarantine ends, not once at each daemon (seed ${seed})`, () => {
          const fleet = createFleet(seed);
          pass(fleet, 1000, sendHarmful(fleet, 500));
          pass(fleet, MINUTE_MS + 30_000, (at) => {
            if (at % 50 === 0) fleet.sendRequest(fleet.drawDaemon(), 'harmful', true);
          });
          expect(fleet.runs.length).to.be.at.most(4);
          expect(countLateRuns(fleet)).to.be.at.most(MAX_LATE_RUNS);
        });
      });

      it('stops it where three datagrams in ten are lost', () => {
        const fleet = createFleet(4, 0.3);
        pass(fleet, 10_000, sendHarmful(fleet, 500));
        expect(fleet.runs.length).to.be.at.most(3);
      });

      it('tells a daemon that starts while it is quarantined', () => {
        const fleet = createFleet(5);
        pass(fleet, 2000, sendHarmful(fleet, 500));
        const known = fleet.runs.length;
        fleet.ids.slice(0, 6).forEach((id) => {
          fleet.startDaemon(id);
          pass(fleet, 100);
          fleet.sendRequest(id, 'harmful', true);
          pass(fleet, 400);
        });
        expect(fleet.runs.length).to.equal(known);
      });

      it('crashes two upstreams on each side of a partition, and tries it on one side only', () => {
        const fleet = createFleet(6, 0);
        pass(fleet, 1000);
        fleet.split(['z2']);
        pass(fleet, MINUTE_MS + 30_000, sendHarmful(fleet, 100));
        const later = fleet.runs.filter(({ at }) => at > MINUTE_MS);
        expect(fleet.runs.length - later.length).to.be.at.most(6);
        expect(later.length).to.be.at.most(1);
        fleet.join();
        pass(fleet, 10_000, sendHarmful(fleet, 100));
        expect(countLateRuns(fleet)).to.be.at.most(MAX_LATE_RUNS);
      });

      it('never refuses a hot request where upstreams crash of themselves, many at once', () => {
        const fleet = createFleet(7);
        pass(fleet, 12_000, (at) => {
          if (at % 20 === 0) fleet.sendRequest(fleet.drawDaemon(), 'hot', false);
          if (at % 4000 !== 0) return;
          Array.from({ length: 5 }).forEach(() => fleet.crashUpstream(fleet.drawDaemon(), ['hot']));
        });
        expect(fleet.refusals).to.deep.equal([]);
      });

      it('serves a request again that was quarantined by mistake, at all daemons', () => {
        const fleet = createFleet(8);
        pass(fleet, 1000);
        fleet.crashUpstream(fleet.drawDaemon(), ['proper']);
        pass(fleet, 1000);
        fleet.crashUpstream(fleet.drawDaemon(), ['proper']);
        pass(fleet, 1000);
        expect(fleet.ids.every((id) => fleet.isQuarantined(id, 'proper'))).to.equal(true);
        const dispatchers = fleet.ids.slice(0, 3);
        pass(fleet, MINUTE_MS + 7000, (at) => {
          if (at % 500 !== 0) return;
          dispatchers.forEach((id) => fleet.sendRequest(id, 'proper', false));
        });
        pass(fleet, 1500);
        expect(fleet.ids.some((id) => fleet.isQuarantined(id, 'proper'))).to.equal(false);
        expect(fleet.refusals.length).to.be.greaterThan(0);
      });
    });
  });
});
