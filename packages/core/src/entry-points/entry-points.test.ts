import { expect } from 'chai';

import type { Member } from '../membership/index.js';
import { hashText } from '../runtime/index.js';
import { chooseEntryPoints } from './index.js';

const MEMBERS: readonly Member[] = Array.from({ length: 12 }, (_, index) => ({
  id: `entry-${index}`,
  address: '127.0.0.1',
  peerPort: 1,
  callerPort: index,
  dataCentre: `dc-${index % 3}`,
  incarnation: 1,
  version: 1,
  state: 'serving',
  capacity: 1,
  load: 0,
}));

describe('chooseEntryPoints', () => {
  const owners = MEMBERS.slice(0, 6);

  it('lists owners first, and among them those in the data centre of the caller', () => {
    const entries = chooseEntryPoints(
      { customer: 'c', dataCentre: 'dc-1' },
      owners,
      MEMBERS,
      hashText,
    );
    expect(entries.map(({ id }) => id)).to.have.members(owners.map(({ id }) => id));
    expect(entries.slice(0, 2).map(({ dataCentre }) => dataCentre)).to.deep.equal(['dc-1', 'dc-1']);
  });

  it('spreads customers over daemons, and when a daemon goes moves only its own customers', () => {
    const customers = Array.from({ length: 600 }, (_, index) => `customer-${index}`);
    const choose = (members: readonly Member[]): readonly (string | undefined)[] =>
      customers.map(
        (customer) => chooseEntryPoints({ customer }, members, members, hashText)[0]?.id,
      );
    const before = choose(owners);
    const after = choose(owners.slice(1));
    const moved = before.filter((id, index) => id !== after[index]).length;
    expect(moved).to.equal(before.filter((id) => id === owners[0]?.id).length);
    expect(moved / customers.length).to.be.below(1 / 4);
  });
});
