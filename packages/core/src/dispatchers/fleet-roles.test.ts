import { expect } from 'chai';

import type { Member } from '../membership/index.js';
import { CUT_OFF_CAPACITY } from './capacity.js';
import { FleetRoles } from './fleet-roles.js';

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

describe('FleetRoles', () => {
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

  function createStartingRoles(id: string): FleetRoles {
    return new FleetRoles({ id, dataCentre: id.slice(0, 1) }, 1, {
      clock: { now: () => now },
      getRevision: () => revision,
      listCandidates: () => candidates,
    });
  }

  function createRoles(id: string): FleetRoles {
    const roles = createStartingRoles(id);
    now += 5000;
    return roles;
  }

  beforeEach(() => {
    revision += 1;
    candidates = members;
  });

  it('lets only two daemons of each data centre exchange members with other data centres', () => {
    const crossing = members.filter(({ id, dataCentre }) => {
      const roles = createRoles(id);
      return members.some(
        (other) => other.dataCentre !== dataCentre && roles.isExchangePartner(other),
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

  it('replaces a lost bridge by the next daemon in rank', () => {
    candidates = members.filter(({ id }) => id !== 'a-00');
    revision += 1;
    expect(createRoles('a-02').isBridge).to.equal(true);
    expect(createRoles('a-03').isBridge).to.equal(false);
  });

  it('ranks daemons that are joining, but does not use them as dispatchers', () => {
    candidates = members.map((member) => ({ ...member, state: 'joining' as const }));
    const roles = createRoles('a-00');
    expect(roles.ownRank).to.equal(0);
    expect(roles.listAllDispatchers()).to.deep.equal([]);
  });

  it('adds dispatchers as the load grows', () => {
    const idle = createRoles('a-00').listDispatchers('a').length;
    candidates = members.map((member) =>
      member.id.endsWith('00') ? { ...member, load: 290 } : member,
    );
    revision += 1;
    expect([idle, createRoles('a-00').listDispatchers('a').length]).to.deep.equal([1, 2]);
  });

  it('replaces lost dispatchers at once by enough daemons of lower capacity for the load', () => {
    const roles = createRoles('a-10');
    candidates = members.map((member) =>
      member.capacity > 60 ? { ...member, load: 150 } : member,
    );
    revision += 1;
    expect(roles.listDispatchers('a').map(({ capacity }) => capacity)).to.deep.equal([
      300, 300, 300,
    ]);
    candidates = members.filter(({ capacity }) => capacity === 60);
    revision += 1;
    now += 500;
    const replacements = roles.listDispatchers('a');
    expect(replacements.reduce((sum, { capacity }) => sum + capacity, 0)).to.be.greaterThan(450);
    // The replacements advertised no load, so the held demand expires.
    now += 6000;
    expect(roles.listDispatchers('a').length).to.equal(1);
  });

  // The hold of an earlier peak ended right after the loss, and with it the demand that was lost.
  it('holds the demand for its whole time from the loss, however old an earlier peak is', () => {
    const roles = createRoles('a-10');
    const setLoad = (load: number): void => {
      candidates = members.map((member) => (member.capacity > 60 ? { ...member, load } : member));
      revision += 1;
    };
    setLoad(200);
    expect(roles.listDispatchers('a')).to.have.length(3);
    setLoad(150);
    now += 4800;
    expect(roles.listDispatchers('a')).to.have.length(3);
    candidates = members.filter(({ capacity }) => capacity === 60);
    revision += 1;
    const sumCapacity = (): number =>
      roles.listDispatchers('a').reduce((sum, { capacity }) => sum + capacity, 0);
    expect(sumCapacity()).to.be.greaterThan(450);
    now += 1000;
    expect(sumCapacity()).to.be.greaterThan(450);
    now += 10_000;
    expect(roles.listDispatchers('a')).to.have.length(1);
  });

  it('uses several dispatchers after a restart of the fleet, while the demand is unknown', () => {
    const roles = createStartingRoles('a-10');
    expect(roles.listDispatchers('a').map(({ id }) => id)).to.deep.equal(['a-00', 'a-01', 'a-02']);
    now += 5000;
    expect(roles.listDispatchers('a').length).to.equal(1);
  });

  describe('with daemons that have lost their links to the upstreams', () => {
    function setCutOff(isCutOff: (member: Member) => boolean): void {
      candidates = members.map((member) =>
        isCutOff(member) ? { ...member, capacity: CUT_OFF_CAPACITY } : member,
      );
    }

    it('replaces them by others of the data centre', () => {
      setCutOff(({ id }) => ['a-00', 'a-01'].includes(id));
      const dispatchers = createRoles('a-05').listDispatchers('a');
      expect(dispatchers.map(({ id }) => id)).to.deep.equal(['a-02']);
    });

    it('leaves a data centre without a dispatcher where all of it has lost them', () => {
      setCutOff(({ dataCentre }) => dataCentre === 'a');
      const roles = createRoles('a-05');
      expect(roles.listDispatchers('a')).to.deep.equal([]);
      expect(roles.listAllDispatchers().map(({ id }) => id)).to.deep.equal(['b-00', 'c-00']);
    });

    it('keeps them where no daemon reaches the upstreams', () => {
      setCutOff(() => true);
      expect(createRoles('a-05').listAllDispatchers()).to.have.length(3);
    });
  });
});
