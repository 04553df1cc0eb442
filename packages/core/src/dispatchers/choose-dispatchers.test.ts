import { expect } from 'chai';

import { hashText } from '../runtime/index.js';
import {
  chooseDispatchers,
  chooseDispatchersForCaller,
  chooseDispatchersWithFallback,
  computeCapacity,
  computeRequestWeight,
  AdvertisedLoad,
  RequestBytes,
} from './index.js';
import type { DispatcherCandidate } from './index.js';

const EQUAL = { capacity: 100, load: 0 };

const CANDIDATES: readonly DispatcherCandidate[] = [
  { id: 'b1', dataCentre: 'b', incarnation: 1000, ...EQUAL },
  { id: 'a3', dataCentre: 'a', incarnation: 1200, ...EQUAL },
  { id: 'a1', dataCentre: 'a', incarnation: 1400, ...EQUAL },
  { id: 'a2', dataCentre: 'a', incarnation: 90_000, ...EQUAL },
];

/** Two VMs of high capacity and ten of low capacity, as in large deployments. */
function buildUnequalCandidates(load: number): readonly DispatcherCandidate[] {
  const common = { dataCentre: 'a', incarnation: 1000 };
  const weak = Array.from({ length: 10 }, (_, index) => ({
    ...common,
    id: `a-weak-${index}`,
    capacity: 100,
    load: 0,
  }));
  const strong = ['z1', 'z2'].map((id) => ({ ...common, id, capacity: 500, load: load / 2 }));
  return [...weak, ...strong];
}

describe('choice of dispatchers', () => {
  it('prefers daemons that have run longest, and orders simultaneous starts by id', () => {
    const chosen = chooseDispatchers(CANDIDATES, 'a', 3).map(({ id }) => id);
    expect(chosen).to.deep.equal(['a1', 'a3', 'a2']);
  });

  it('does not depend on the order of the candidates', () => {
    const reversed = [...CANDIDATES].reverse();
    expect(chooseDispatchers(reversed, 'a', 2)).to.deep.equal(
      chooseDispatchers(CANDIDATES, 'a', 2),
    );
  });

  it('falls back to other data centres if the own one has no dispatcher', () => {
    const chosen = chooseDispatchersWithFallback(CANDIDATES, 'c', 1).map(({ id }) => id);
    expect([...chosen].sort()).to.deep.equal(['a1', 'b1']);
    expect(chooseDispatchersWithFallback([], 'a', 1)).to.deep.equal([]);
  });

  it('chooses the daemons of highest capacity, and as many as the load needs', () => {
    const choose = (load: number): readonly string[] =>
      chooseDispatchers(buildUnequalCandidates(load), 'a', 1).map(({ id }) => id);
    expect(choose(0)).to.deep.equal(['z1']);
    expect(choose(400)).to.deep.equal(['z1', 'z2']);
    expect(choose(800)).to.deep.equal(['z1', 'z2']);
    expect(choose(1150)).to.deep.equal(['z1', 'z2', 'a-weak-0', 'a-weak-1']);
    expect(choose(1_000_000)).to.have.length(12);
  });

  it('distributes callers by capacity, and gives a caller the same dispatchers each time', () => {
    const dispatchers = chooseDispatchers(buildUnequalCandidates(1150), 'a', 1);
    const callers = Array.from({ length: 4000 }, (_, index) => `caller-${index}`);
    const first = callers.map(
      (caller) => chooseDispatchersForCaller(dispatchers, caller, hashText)[0]?.id,
    );
    const count = (id: string): number => first.filter((one) => one === id).length;
    expect(count('z1') / 4000).to.be.closeTo(500 / 1200, 0.04);
    expect(count('a-weak-0') / 4000).to.be.closeTo(100 / 1200, 0.04);
    const again = chooseDispatchersForCaller([...dispatchers].reverse(), '10.9.0.1', hashText);
    expect(again).to.deep.equal(chooseDispatchersForCaller(dispatchers, '10.9.0.1', hashText));
    expect(again).to.have.length(2);
  });

  it('advertises an increase of load at once and a decrease only after a delay', () => {
    let now = 0;
    const level = new AdvertisedLoad(400, { now: () => now });
    const run = (ms: number, everyMs: number): void =>
      Array.from({ length: ms / 5 }).forEach(() => {
        now += 5;
        if (now % everyMs === 0) level.recordArrival();
        level.refresh();
      });
    expect(level.refresh()).to.equal(0);
    run(4000, 5);
    expect(level.refresh()).to.be.within(150, 200);
    run(3000, 50);
    expect(level.refresh()).to.be.within(150, 200);
    run(5000, 50);
    expect(level.refresh()).to.equal(0);
  });

  // VMs whose link was full advertised a load far below their capacity, and no dispatcher was added.
  it('advertises more load where requests move more bytes, and never less', () => {
    const small = { cores: 0.27, linkMegabitsPerSecond: 7 };
    const large = { cores: 1.35, linkMegabitsPerSecond: 140 };
    expect(computeRequestWeight(small, 10_000)).to.be.closeTo(1, 0.01);
    expect(computeRequestWeight(small, 35_000)).to.be.closeTo(67.5 / 25, 0.01);
    expect([computeRequestWeight(large, 35_000), computeRequestWeight(small, 0)]).to.deep.equal([
      1, 1,
    ]);
    let now = 0;
    const [light, heavy] = [1, 2].map((weight) => {
      const level = new AdvertisedLoad(400, { now: () => now });
      Array.from({ length: 500 }).forEach(() => {
        now += 10;
        level.recordArrival();
      });
      return level.refresh(weight);
    });
    expect([light, heavy]).to.deep.equal([50, 150]);
  });

  it('learns the bytes of a request slowly, so that one large answer changes little', () => {
    const bytes = new RequestBytes();
    bytes.record(540_000);
    expect(bytes.mean).to.be.within(10_000, 12_000);
    Array.from({ length: 3000 }, (_, index) => (index % 8 === 0 ? 90_000 : 2000)).forEach((one) =>
      bytes.record(one),
    );
    expect(bytes.mean).to.be.closeTo(13_000, 700);
  });

  it('limits the capacity by CPU or link, whichever is less', () => {
    const wide = { linkMegabitsPerSecond: 1000 };
    expect(computeCapacity({ cores: 0.4, ...wide })).to.be.closeTo(100, 1);
    expect(computeCapacity({ cores: 1.35, linkMegabitsPerSecond: 10 })).to.equal(125);
    expect(computeCapacity({ cores: 1.35, ...wide })).to.equal(338);
  });
});
