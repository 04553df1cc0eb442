import { createRandom } from '@baobabline/core';
import type { RateLimitStatement } from '@baobabline/core';
import { expect } from 'chai';
import { mock } from 'node:test';

import { SimulatedFleet } from './simulated-fleet.js';
import type { Arrival, End } from './simulated-fleet.js';

const STEP_MS = 5;
const WINDOW_MS = 4000;
/** The fleet has this long after the first statement of a limit to keep to it. */
const STABILITY_MS = 3000;
/** A daemon's requests count from so long after its first answer that states the limit. */
const INFORMED_MS = 500;
const STATED_MS = 2000;
/** A quarter of the target latency of the simulated route. */
const MAX_REFUSAL_MS = 125;
const SEED = 5;
const UPSTREAMS = ['u1', 'u2', 'u3', 'u4'];
const DAEMONS = ['a-1', 'b-1', 'c-1'];
const FLEET = ['a-1', 'a-2', 'a-3', 'b-1', 'b-2', 'b-3', 'c-1', 'c-2', 'c-3'];
const DATA_CENTRES = [FLEET.slice(0, 3), FLEET.slice(3, 6), FLEET.slice(6)];
const SEEDS = ['a-1', 'b-1', 'c-1'];
const DISPATCHER_RATE = 30;
/** More than the slots of all upstreams serve. */
const OVERLOAD_RATE = 150;
/** Requests per second at a daemon that is no dispatcher. */
const OTHER_RATE = 0.5;

type Limits = Readonly<Record<string, RateLimitStatement>>;

/** What happens to a fleet, by the time at which it does. */
type Plan = ReadonlyMap<number, (fleet: SimulatedFleet) => void>;

/** Requests that an upstream may get in any window while it states a limit. */
function computeAllowed(perSecond: number): number {
  return 1.5 * perSecond * (WINDOW_MS / 1000) + 5;
}

function countMostInWindow(arrivals: readonly Arrival[]): number {
  const counts = arrivals.map(
    (last) => arrivals.filter(({ at }) => at > last.at - WINDOW_MS && at <= last.at).length,
  );
  return Math.max(0, ...counts);
}

/** The most requests that count in any window after the fleet had its time. */
function countMost(fleet: SimulatedFleet, upstream: string): number {
  return countMostInWindow(
    fleet
      .listCountedArrivals(upstream, INFORMED_MS)
      .filter(({ at }) => at >= STATED_MS + STABILITY_MS),
  );
}

/** The same of all requests, those of daemons that had not heard of the limit included. */
function countMostOfAll(fleet: SimulatedFleet, upstream: string): number {
  return countMostInWindow(
    fleet.arrivals.filter(
      (arrival) => arrival.upstream === upstream && arrival.at >= STATED_MS + STABILITY_MS,
    ),
  );
}

function countBetween(
  fleet: SimulatedFleet,
  upstream: string,
  fromMs: number,
  toMs: number,
): number {
  return fleet.arrivals.filter(
    (arrival) => arrival.upstream === upstream && arrival.at >= fromMs && arrival.at < toMs,
  ).length;
}

describe("an upstream's rate limit in a fleet", () => {
  beforeEach(() => mock.timers.enable({ apis: ['setTimeout'] }));

  afterEach(() => mock.timers.reset());

  function run(fleet: SimulatedFleet, forMs: number, onStep: () => void): void {
    Array.from({ length: forMs / STEP_MS }).forEach(() => {
      fleet.advance(STEP_MS);
      mock.timers.tick(STEP_MS);
      onStep();
    });
  }

  function createFleet(
    limits: Limits | ((now: number) => Limits),
    daemons = DAEMONS,
    upstreams: readonly string[] = UPSTREAMS,
    seed = SEED,
  ): SimulatedFleet {
    const getLimits = typeof limits === 'function' ? limits : (): Limits => limits;
    return new SimulatedFleet({
      seed,
      daemons,
      upstreams,
      seeds: SEEDS,
      getStatement: (upstream, now) => (now >= STATED_MS ? getLimits(now)[upstream] : undefined),
    });
  }

  /** Runs a fleet under load: dispatchers get most requests, the others a few. */
  function runLoad(fleet: SimulatedFleet, forMs: number, plan: Plan = new Map()): void {
    run(fleet, forMs, () => {
      plan.get(fleet.now)?.(fleet);
      fleet
        .listRunning()
        .forEach((id) =>
          fleet.drawRequests(id, fleet.isDispatcher(id) ? DISPATCHER_RATE : OTHER_RATE, STEP_MS),
        );
    });
  }

  it('is not exceeded by the sum over the dispatchers', () => {
    const fleet = createFleet({ u1: 1 });
    runLoad(fleet, 20_000);
    expect(countMostOfAll(fleet, 'u1')).to.be.at.most(computeAllowed(1));
  });

  it('is not exceeded if it is under one a second', () => {
    const fleet = createFleet({ u1: 0.2 });
    runLoad(fleet, 40_000);
    expect(countMostOfAll(fleet, 'u1')).to.be.at.most(computeAllowed(0.2));
  });

  it('is kept by several limited upstreams at once', () => {
    const limits = { u1: 3.2, u2: 1, u3: 0.5 };
    const fleet = createFleet(limits);
    runLoad(fleet, 20_000);
    Object.entries(limits).forEach(([upstream, perSecond]) =>
      expect(countMostOfAll(fleet, upstream)).to.be.at.most(computeAllowed(perSecond)),
    );
  });

  it('is not exceeded when many callers come at once', () => {
    const fleet = createFleet({ u1: 2 }, DAEMONS, ['u1', 'u2']);
    run(fleet, 20_000, () => {
      if (fleet.now % 2000 !== 0) return;
      DAEMONS.forEach((id) => Array.from({ length: 60 }).forEach(() => fleet.sendRequest(id)));
    });
    expect(countMostOfAll(fleet, 'u1')).to.be.at.most(computeAllowed(2));
  });

  it('counts for daemons that are no dispatchers, which hear of it from others', () => {
    const fleet = createFleet({ u1: 1 }, FLEET);
    runLoad(fleet, 20_000);
    expect(countMostOfAll(fleet, 'u1')).to.be.at.most(computeAllowed(1));
  });

  it('is used by callers, and what it leaves no room for is refused at once', () => {
    const fleet = createFleet({ u1: 2, u2: 2, u3: 2, u4: 2 });
    runLoad(fleet, 20_000);
    const used = UPSTREAMS.reduce((sum, id) => sum + countBetween(fleet, id, 10_000, 20_000), 0);
    const late = fleet.ends.filter(({ at }) => at >= 10_000);
    const refused = late.filter(({ end }) => end.kind === 'refused');
    expect(used).to.be.greaterThan(0.75 * 80);
    expect(refused.length).to.be.greaterThan(100);
    const isTruthful = ({ end }: End): boolean =>
      end.kind === 'refused' &&
      end.error.result.outcome === 'not-run' &&
      (end.error.retryAfterSeconds ?? 0) > 0;
    expect(refused.every(isTruthful)).to.equal(true);
    expect(refused.every(({ waitedMs }) => waitedMs <= MAX_REFUSAL_MS)).to.equal(true);
  });

  it('keeps a limited upstream in use while the others are overloaded', () => {
    const fleet = createFleet({ u1: 2 });
    run(fleet, 20_000, () =>
      DAEMONS.forEach((id) => fleet.drawRequests(id, OVERLOAD_RATE, STEP_MS)),
    );
    expect(fleet.ends.some(({ end }) => end.kind === 'refused')).to.equal(true);
    expect(countBetween(fleet, 'u1', 10_000, 20_000)).to.be.greaterThan(0.75 * 20);
    expect(countMostOfAll(fleet, 'u1')).to.be.at.most(computeAllowed(2));
  });

  it('leaves callers to the other upstreams', () => {
    const fleet = createFleet({ u1: 1 });
    runLoad(fleet, 20_000);
    const answered = fleet.ends.filter(({ end }) => end.kind === 'answered');
    expect(answered.length).to.be.greaterThan(0.99 * fleet.ends.length);
  });

  it('holds at once when it is lowered', () => {
    const fleet = createFleet((now) => ({ u1: now < 10_000 ? 20 : 1 }));
    runLoad(fleet, 25_000);
    const after = fleet.arrivals.filter(
      ({ upstream, at }) => upstream === 'u1' && at >= 10_000 + STABILITY_MS,
    );
    expect(countMostInWindow(after)).to.be.at.most(computeAllowed(1));
  });

  it('ends for all daemons when the upstream states it no longer', () => {
    const fleet = createFleet((now) => ({ u1: now < 10_000 ? 1 : undefined }), FLEET);
    runLoad(fleet, 30_000);
    expect(countBetween(fleet, 'u1', 20_000, 30_000)).to.be.greaterThan(
      0.5 * countBetween(fleet, 'u2', 20_000, 30_000),
    );
  });

  it('is asked about now and then if it is zero, and so ends', () => {
    const fleet = createFleet((now) => ({ u1: now < 60_000 ? 0 : undefined }));
    runLoad(fleet, 120_000);
    const during = fleet.arrivals.filter(
      ({ upstream, at }) => upstream === 'u1' && at >= 5000 && at < 60_000,
    );
    expect(during.length).to.be.greaterThan(0);
    expect(countMostInWindow(during)).to.be.at.most(computeAllowed(0));
    expect(countBetween(fleet, 'u1', 110_000, 120_000)).to.be.greaterThan(10);
  });

  it('is not exceeded while daemons are killed, start again and take over from each other', () => {
    const fleet = createFleet({ u1: 1, u2: 10 }, FLEET);
    const events = FLEET.flatMap((id, index) => {
      const at = 8000 + index * 1500;
      return [
        [at, () => (index % 2 === 0 ? fleet.stopDaemon(id) : fleet.killDaemon(id))],
        [at + 1000, () => fleet.startDaemon(id)],
      ] as const;
    });
    runLoad(fleet, 30_000, new Map(events));
    expect(countMostOfAll(fleet, 'u1')).to.be.at.most(computeAllowed(1));
    expect(countMostOfAll(fleet, 'u2')).to.be.at.most(computeAllowed(10));
  });

  it('is not exceeded when a suspended daemon goes on', () => {
    const fleet = createFleet({ u1: 1, u2: 10 }, FLEET);
    const plan: Plan = new Map([
      [8000, () => fleet.pauseDaemon('a-1')],
      [16_000, () => fleet.resumeDaemon('a-1')],
    ]);
    runLoad(fleet, 30_000, plan);
    expect(countMostOfAll(fleet, 'u1')).to.be.at.most(computeAllowed(1));
    expect(countMostOfAll(fleet, 'u2')).to.be.at.most(computeAllowed(10));
  });

  it('is not exceeded by the sides of a partition together, and when it heals', () => {
    const fleet = createFleet({ u1: 1, u2: 6 }, FLEET);
    const plan: Plan = new Map([
      [8000, () => fleet.split(DATA_CENTRES)],
      [100_000, () => fleet.split([FLEET])],
    ]);
    runLoad(fleet, 120_000, plan);
    expect(countMostOfAll(fleet, 'u1')).to.be.at.most(computeAllowed(1));
    expect(countMostOfAll(fleet, 'u2')).to.be.at.most(computeAllowed(6));
  });

  it('is not exceeded by data centres that start anew while they are cut off', () => {
    const fleet = createFleet({ u1: 1, u2: 6 }, FLEET);
    const plan: Plan = new Map([
      [8000, () => fleet.split(DATA_CENTRES)],
      [9000, () => FLEET.forEach((id) => fleet.startDaemon(id))],
    ]);
    runLoad(fleet, 30_000, plan);
    expect(countMostOfAll(fleet, 'u1')).to.be.at.most(computeAllowed(1));
    expect(countMostOfAll(fleet, 'u2')).to.be.at.most(computeAllowed(6));
  });

  it('is not exceeded if daemons are heard in one direction only', () => {
    const fleet = createFleet({ u1: 1, u2: 10 }, FLEET);
    const plan: Plan = new Map([
      [8000, () => fleet.silence(FLEET.slice(0, 3), FLEET.slice(3))],
      [20_000, () => fleet.silence(FLEET.slice(3), FLEET.slice(0, 3))],
    ]);
    runLoad(fleet, 35_000, plan);
    expect(countMostOfAll(fleet, 'u1')).to.be.at.most(computeAllowed(1));
    expect(countMostOfAll(fleet, 'u2')).to.be.at.most(computeAllowed(10));
  });

  [1, 2, 3, 4, 5, 6].forEach((seed) => {
    it(`is not exceeded whatever happens to the fleet, with seed ${seed}`, () => {
      const limits = { u1: 0.2, u2: 1, u3: 10 };
      const fleet = createFleet(limits, FLEET, UPSTREAMS, seed);
      const random = createRandom(seed);
      const drawDaemon = (): string => FLEET[Math.floor(random.next() * FLEET.length)] ?? 'a-1';
      const actions: readonly (() => void)[] = [
        () => fleet.killDaemon(drawDaemon()),
        () => fleet.stopDaemon(drawDaemon()),
        () => fleet.pauseDaemon(drawDaemon()),
        () => fleet.split([FLEET.slice(0, 3), FLEET.slice(3)]),
        () => fleet.silence([drawDaemon()], FLEET),
        () => fleet.split([FLEET]),
        () => FLEET.forEach((id) => fleet.resumeDaemon(id)),
        () =>
          FLEET.filter((id) => !fleet.listRunning().includes(id)).forEach((id) => {
            fleet.resumeDaemon(id);
            fleet.startDaemon(id);
          }),
      ];
      const events = Array.from({ length: 40 }, (_, index) => {
        const action = actions[Math.floor(random.next() * actions.length)];
        return [6000 + index * 1000, () => action?.()] as const;
      });
      runLoad(fleet, 50_000, new Map(events));
      Object.entries(limits).forEach(([upstream, perSecond]) =>
        expect(countMost(fleet, upstream), upstream).to.be.at.most(computeAllowed(perSecond)),
      );
    });
  });
});
