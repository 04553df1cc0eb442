import { expect } from 'chai';

import { chooseDispatchers, chooseForCallers } from './index.js';
import type { DispatcherCandidate } from './index.js';

const CANDIDATES: readonly DispatcherCandidate[] = [
  { id: 'b1', dataCentre: 'b', incarnation: 1000 },
  { id: 'a3', dataCentre: 'a', incarnation: 1200 },
  { id: 'a1', dataCentre: 'a', incarnation: 1400 },
  { id: 'a2', dataCentre: 'a', incarnation: 90_000 },
];

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
});
