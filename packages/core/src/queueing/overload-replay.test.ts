import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import { simulateOverload } from './simulated-overload.js';
import type { OverloadOptions, SimulatedEnd, SimulatedRequest } from './simulated-overload.js';

const SERVICE_MS = 250;
const SLOTS = 50;
const CAPACITY_PER_MS = SLOTS / SERVICE_MS;
const DAEMONS = 6;
const BASE = { isFormer: false, daemons: DAEMONS, slots: SLOTS, serviceMs: SERVICE_MS };

type Source = {
  readonly perMs: number;
  readonly from: number;
  readonly to: number;
  /** Daemons that its requests go to. */
  readonly daemons: number;
  readonly request: Omit<SimulatedRequest, 'at' | 'daemon'>;
};

function drawRequests(sources: readonly Source[]): readonly SimulatedRequest[] {
  const random = createRandom(37);
  return sources.flatMap(({ perMs, from, to, daemons, request }) =>
    Array.from({ length: (to - from) / 10 }, (_, index) => from + index * 10).flatMap((at) => {
      const count = Math.floor(perMs * 10 + random.next());
      return Array.from({ length: count }, () => ({
        ...request,
        at,
        daemon: Math.floor(random.next() * daemons),
      }));
    }),
  );
}

function computeShare(
  ends: readonly SimulatedEnd[],
  isWanted: (end: SimulatedEnd) => boolean,
  isGood: (end: SimulatedEnd) => boolean,
): number {
  const wanted = ends.filter(isWanted);
  return wanted.filter(isGood).length / wanted.length;
}

function isInTime({ isServed, endedAt, at, targetMs }: SimulatedEnd): boolean {
  return isServed && endedAt - at <= targetMs;
}

describe('client accounts at a service that is short of capacity', () => {
  const RATES = Array.from({ length: 40 }, (_, index) => 1 / (index + 1) ** 1.2);
  const sum = RATES.reduce((total, rate) => total + rate, 0);
  const FLOOD = { from: 4000, to: 10_000 };
  const FLOODING = 0;

  /** Replays a flood of the largest account through some daemons, the others through all. */
  function simulateFlood(floodDaemons: number, options: Partial<OverloadOptions> = {}) {
    const perMs = RATES.map((rate) => (rate / sum) * CAPACITY_PER_MS * 0.7);
    const build = (index: number): Source['request'] => ({
      account: { name: `a${index}`, ratePerSecond: (perMs[index] ?? 0) * 1600 },
      ...{ priority: 1, targetMs: 1000, limitMs: 4000 },
    });
    const usual = perMs.map((rate, index) => ({
      ...{ perMs: rate, from: 0, to: 14_000, daemons: DAEMONS, request: build(index) },
    }));
    const flood = {
      ...{ perMs: (perMs[FLOODING] ?? 0) * 6, ...FLOOD, daemons: floodDaemons },
      request: build(FLOODING),
    };
    return simulateOverload({
      ...BASE,
      endMs: 14_000,
      requests: drawRequests([...usual, flood]),
      ...options,
    }).filter(({ at }) => at >= FLOOD.from + 500 && at < FLOOD.to);
  }

  function getFleetRate(name: string): number {
    const rate = ((RATES[Number(name.slice(1))] ?? 0) / sum) * CAPACITY_PER_MS * 0.7 * 1000;
    return name === `a${FLOODING}` ? rate * 7 : rate;
  }

  const isSmall = ({ account }: SimulatedEnd): boolean => account?.name !== `a${FLOODING}`;

  it('are served as usual while the largest floods through all daemons or one', () => {
    const former = simulateFlood(DAEMONS, { isFormer: true });
    expect(computeShare(former, isSmall, isInTime)).to.be.lessThan(0.6);
    [simulateFlood(DAEMONS), simulateFlood(1), simulateFlood(1, { getFleetRate })].forEach(
      (ends) => {
        expect(computeShare(ends, isSmall, isInTime)).to.be.greaterThan(0.98);
        // The slots stay in use, and nearly all that is refused is refused at once.
        const served = ends.filter(({ isServed }) => isServed).length;
        expect(served).to.be.greaterThan(former.filter(({ isServed }) => isServed).length * 0.97);
        const waits = ends
          .filter(({ isServed }) => !isServed)
          .map(({ at, endedAt }) => endedAt - at);
        expect(waits.filter((wait) => wait > 100).length).to.be.lessThan(waits.length / 10);
      },
    );
  });
});

describe('kinds of requests at a service that is short of capacity', () => {
  function simulateKinds(
    isFormer: boolean,
    targets: readonly number[],
    shares: readonly number[],
  ): readonly number[] {
    const sources = targets.map((targetMs, priority) => ({
      ...{ perMs: CAPACITY_PER_MS * (shares[priority] ?? 0), from: 0, to: 10_000 },
      ...{ daemons: DAEMONS, request: { priority, targetMs, limitMs: targetMs * 2 } },
    }));
    const requests = drawRequests(sources);
    const ends = simulateOverload({ ...BASE, isFormer, endMs: 12_000, requests });
    return targets.map((_target, kind) =>
      computeShare(ends, ({ priority }) => priority === kind, isInTime),
    );
  }

  it('are not served less often than less urgent ones that are due sooner, and none starves', () => {
    const [formerUrgent = 0, formerOther = 0] = simulateKinds(true, [2000, 800], [1.4, 0.6]);
    expect(formerUrgent).to.be.lessThan(formerOther * 0.8);
    [
      [1.4, 0.6],
      [0.9, 0.8],
      [0.5, 1.5],
    ].forEach((shares) => {
      const [urgent = 0, other = 0] = simulateKinds(false, [2000, 800], shares);
      expect(urgent).to.be.greaterThan(other);
      expect(other).to.be.greaterThan(0.3);
    });
  });

  it('are served as before where the urgent ones are due sooner', () => {
    const [present, former] = [false, true].map((isFormer) =>
      simulateKinds(isFormer, [800, 2000], [0.9, 0.8]),
    );
    [0, 1].forEach((kind) => expect(present?.[kind]).to.be.closeTo(former?.[kind] ?? 0, 0.05));
  });
});

describe('callers that return after a refusal', () => {
  /** Replays a burst of 1.7 times the capacity for three seconds. */
  function simulateBurst(isFormer: boolean): {
    readonly refused: readonly number[];
    readonly peak: number;
    readonly servedShare: number;
  } {
    const build = (perMs: number, from: number, to: number): Source => ({
      ...{ perMs, from, to, daemons: DAEMONS },
      request: { priority: 1, targetMs: 1000, limitMs: 4000 },
    });
    const requests = drawRequests([
      build(CAPACITY_PER_MS * 0.75, 0, 12_000),
      build(CAPACITY_PER_MS * 0.95, 3000, 6000),
    ]);
    const ends = simulateOverload({ ...BASE, isFormer, endMs: 12_000, requests, maxReturns: 3 });
    const returns = ends.filter((end) => (end.returns ?? 0) > 0);
    const perSecond = Array.from({ length: 110 }, (_, index) => index * 100).map(
      (from) => returns.filter(({ at }) => at >= from && at < from + 1000).length,
    );
    return {
      refused: [0, 1, 2].map(
        (wave) => ends.filter((end) => (end.returns ?? 0) === wave && !end.isServed).length,
      ),
      peak: Math.max(...perSecond),
      servedShare: ends.filter(({ isServed }) => isServed).length / (ends.length - returns.length),
    };
  }

  it('come back as a smaller wave than the first, and smaller than with a time by the queue alone', () => {
    const former = simulateBurst(true);
    const present = simulateBurst(false);
    const [first = 0, second = 0] = present.refused;
    expect(second).to.be.lessThan(first * 0.6);
    expect(second).to.be.lessThan((former.refused[1] ?? 0) * 0.9);
    expect(present.peak).to.be.lessThan(former.peak * 0.95);
    expect(present.servedShare).to.be.greaterThan(former.servedShare - 0.01);
  });
});
