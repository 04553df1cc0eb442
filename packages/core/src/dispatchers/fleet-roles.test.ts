import { expect } from 'chai';

import type { Member } from '../membership/index.js';
import { FleetRoster } from './fleet-roles.js';

function buildMember(id: string, dataCentre: string, changes: Partial<Member> = {}): Member {
  return {
    id,
    dataCentre,
    address: '10.0.0.1',
    peerPort: 1,
    callerPort: 2,
    incarnation: 0,
    version: 1,
    state: 'serving',
    capacity: 100,
    load: 0,
    ...changes,
  };
}

describe('who does what in the fleet', () => {
  const members = ['a', 'b', 'c'].flatMap((dataCentre) =>
    Array.from({ length: 20 }, (_, index) =>
      buildMember(`${dataCentre}-${String(index).padStart(2, '0')}`, dataCentre, {
        capacity: index < 3 ? 300 : 60,
      }),
    ),
  );
  let revision = 0;
  let now = 0;
  let candidates: readonly Member[] = members;

  function createStartingRoster(id: string): FleetRoster {
    return new FleetRoster({ id, dataCentre: id.slice(0, 1) }, 1, {
      clock: { now: () => now },
      getRevision: () => revision,
      listCandidates: () => candidates,
    });
  }

  function createRoster(id: string): FleetRoster {
    const roster = createStartingRoster(id);
    now += 5000;
    return roster;
  }

  beforeEach(() => {
    revision += 1;
    candidates = members;
  });

  it('lets members cross data centres by a few bridges only, however many daemons there are', () => {
    const crossing = members.filter(({ id, dataCentre }) => {
      const roster = createRoster(id);
      return members.some(
        (other) => other.dataCentre !== dataCentre && roster.isExchangePartner(other),
      );
    });
    expect(crossing.map(({ id }) => id)).to.deep.equal([
      'a-00',
      'a-01',
      'b-00',
      'b-01',
      'c-00',
      'c-01',
    ]);
  });

  it('puts another bridge in the place of one that is gone, by the same rule everywhere', () => {
    candidates = members.filter(({ id }) => id !== 'a-00');
    revision += 1;
    expect(createRoster('a-02').isBridge).to.equal(true);
    expect(createRoster('a-03').isBridge).to.equal(false);
  });

  it('has callers use the daemons that serve, and lets those that start read', () => {
    candidates = members.map((member) => ({ ...member, state: 'joining' as const }));
    const roster = createRoster('a-00');
    expect(roster.ownRank).to.equal(0);
    expect(roster.listAllDispatchers()).to.deep.equal([]);
  });

  it('calls on more dispatchers as the load grows', () => {
    const idle = createRoster('a-00').listDispatchers('a').length;
    candidates = members.map((member) =>
      member.id.endsWith('00') ? { ...member, load: 290 } : member,
    );
    revision += 1;
    expect([idle, createRoster('a-00').listDispatchers('a').length]).to.deep.equal([1, 2]);
  });

  it('calls on as many weak daemons at once as the wave needs that the strong ones carried', () => {
    const roster = createRoster('a-10');
    candidates = members.map((member) =>
      member.capacity > 60 ? { ...member, load: 150 } : member,
    );
    revision += 1;
    expect(roster.listDispatchers('a').map(({ capacity }) => capacity)).to.deep.equal([
      300, 300, 300,
    ]);
    candidates = members.filter(({ capacity }) => capacity === 60);
    revision += 1;
    now += 500;
    const called = roster.listDispatchers('a');
    expect(called.reduce((sum, { capacity }) => sum + capacity, 0)).to.be.greaterThan(450);
    // Nobody has come to them meanwhile: the wave is over.
    now += 6000;
    expect(roster.listDispatchers('a').length).to.equal(1);
  });

  it('names several dispatchers while nobody can know the demand, after all power was lost', () => {
    const roster = createStartingRoster('a-10');
    expect(roster.listDispatchers('a').map(({ id }) => id)).to.deep.equal(['a-00', 'a-01', 'a-02']);
    now += 5000;
    expect(roster.listDispatchers('a').length).to.equal(1);
  });
});
