import { expect } from 'chai';

import { hashText } from '../runtime/index.js';
import {
  chooseDispatchers,
  chooseForCaller,
  chooseForCallers,
  computeCapacity,
  LoadLevel,
} from './index.js';
import type { DispatcherCandidate } from './index.js';

const EQUAL = { capacity: 100, load: 0 };

const CANDIDATES: readonly DispatcherCandidate[] = [
  { id: 'b1', dataCentre: 'b', incarnation: 1000, ...EQUAL },
  { id: 'a3', dataCentre: 'a', incarnation: 1200, ...EQUAL },
  { id: 'a1', dataCentre: 'a', incarnation: 1400, ...EQUAL },
  { id: 'a2', dataCentre: 'a', incarnation: 90_000, ...EQUAL },
];

/** Two strong VMs and ten weak ones, as on the grown deployments. */
function buildUnequal(load: number): readonly DispatcherCandidate[] {
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

describe('the dispatchers', () => {
  it('are those that have run longest, a common start in order of names', () => {
    const chosen = chooseDispatchers(CANDIDATES, 'a', 3).map(({ id }) => id);
    expect(chosen).to.deep.equal(['a1', 'a3', 'a2']);
  });

  it('do not depend on the order in which daemons are known', () => {
    const reversed = [...CANDIDATES].reverse();
    expect(chooseDispatchers(reversed, 'a', 2)).to.deep.equal(
      chooseDispatchers(CANDIDATES, 'a', 2),
    );
  });

  it('are those of other data centres where the own has none', () => {
    const chosen = chooseForCallers(CANDIDATES, 'c', 1).map(({ id }) => id);
    expect([...chosen].sort()).to.deep.equal(['a1', 'b1']);
    expect(chooseForCallers([], 'a', 1)).to.deep.equal([]);
  });

  it('are the strongest, and as many as the load needs', () => {
    const choose = (load: number): readonly string[] =>
      chooseDispatchers(buildUnequal(load), 'a', 1).map(({ id }) => id);
    expect(choose(0)).to.deep.equal(['z1']);
    expect(choose(400)).to.deep.equal(['z1', 'z2']);
    expect(choose(800)).to.deep.equal(['z1', 'z2']);
    expect(choose(1150)).to.deep.equal(['z1', 'z2', 'a-weak-0', 'a-weak-1']);
    expect(choose(1_000_000)).to.have.length(12);
  });

  it('get callers by what they can carry, each caller always the same', () => {
    const dispatchers = chooseDispatchers(buildUnequal(1150), 'a', 1);
    const callers = Array.from({ length: 4000 }, (_, index) => `caller-${index}`);
    const first = callers.map((caller) => chooseForCaller(dispatchers, caller, hashText)[0]?.id);
    const count = (id: string): number => first.filter((one) => one === id).length;
    expect(count('z1') / 4000).to.be.closeTo(500 / 1200, 0.04);
    expect(count('a-weak-0') / 4000).to.be.closeTo(100 / 1200, 0.04);
    const again = chooseForCaller([...dispatchers].reverse(), '10.9.0.1', hashText);
    expect(again).to.deep.equal(chooseForCaller(dispatchers, '10.9.0.1', hashText));
    expect(again).to.have.length(2);
  });

  it('are told of a rise of load at once and of a fall once it has lasted', () => {
    let now = 0;
    const level = new LoadLevel(400, { now: () => now });
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

  it('carry what processor or link can bear, whichever is less', () => {
    const wide = { linkMegabitsPerSecond: 1000 };
    expect(computeCapacity({ cores: 0.4, ...wide })).to.be.closeTo(100, 1);
    expect(computeCapacity({ cores: 1.35, linkMegabitsPerSecond: 10 })).to.equal(125);
    expect(computeCapacity({ cores: 1.35, ...wide })).to.equal(338);
  });
});
