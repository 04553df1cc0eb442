import { expect } from 'chai';
import fc from 'fast-check';

import { hashText } from '../runtime/index.js';
import { assignSlots, chooseOwners, computeOwnerCount } from './index.js';
import type { DaemonLocation, Slot } from './index.js';

function createDaemons(count: number): readonly DaemonLocation[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `entry-${index}`,
    dataCentre: `dc-${index % 3}`,
  }));
}

function createSlots(upstreams: number, slots: number): readonly Slot[] {
  return Array.from({ length: upstreams * slots }, (_, at) => ({
    id: `up-${Math.floor(at / slots)}#${at % slots}`,
    upstreamId: `up-${Math.floor(at / slots)}`,
    index: at % slots,
  }));
}

describe('chooseOwners', () => {
  it('spreads the dispatchers of a service over the data centres', () => {
    const owners = chooseOwners('visit-desk', 60, createDaemons(36), hashText);
    expect(owners).to.have.length(computeOwnerCount(60));
    expect(new Set(owners.map(({ dataCentre }) => dataCentre)).size).to.equal(3);
  });

  it('gives services to nearly all daemons of a large fleet, and to none over four times the mean', () => {
    const daemons = createDaemons(510);
    const counts = new Map<string, number>();
    Array.from({ length: 390 }, (_, index) =>
      chooseOwners(`service-${index}`, 53, daemons, hashText).forEach(({ id }) =>
        counts.set(id, (counts.get(id) ?? 0) + 1),
      ),
    );
    const mean = (390 * computeOwnerCount(53)) / daemons.length;
    expect(Math.max(...counts.values())).to.be.at.most(mean * 4);
    expect(counts.size).to.be.above(daemons.length * 0.95);
  });

  it('replaces only the daemon that has left', () => {
    const daemons = createDaemons(36);
    const before = chooseOwners('visit-desk', 60, daemons, hashText).map(({ id }) => id);
    const rest = daemons.filter(({ id }) => id !== before[0]);
    const after = chooseOwners('visit-desk', 60, rest, hashText).map(({ id }) => id);
    expect(before.slice(1).filter((id) => !after.includes(id))).to.have.length(0);
  });
});

describe('assignSlots', () => {
  it('gives every slot one owner, and no owner more than an even share rounded up', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 30 }),
        fc.integer({ min: 1, max: 4 }),
        fc.integer({ min: 1, max: 12 }),
        (upstreams, slotsEach, ownerCount) => {
          const slots = createSlots(upstreams, slotsEach);
          const assigned = assignSlots(slots, createDaemons(ownerCount), hashText);
          expect(new Set(assigned.map(({ id }) => id)).size).to.equal(slots.length);
          const limit = Math.ceil(slots.length / ownerCount);
          const counts = createDaemons(ownerCount).map(
            (daemon) => assigned.filter(({ ownerId }) => ownerId === daemon.id).length,
          );
          expect(Math.max(...counts)).to.be.at.most(limit);
        },
      ),
      { seed: 2, numRuns: 100 },
    );
  });

  it('gives the same result for any order of slots and daemons', () => {
    const slots = createSlots(20, 3);
    const owners = createDaemons(6);
    const assigned = assignSlots(slots, owners, hashText);
    const assignedReversed = assignSlots([...slots].reverse(), [...owners].reverse(), hashText);
    expect(assignedReversed).to.deep.equal(assigned);
  });

  it('assigns the slots of each upstream to more than one daemon', () => {
    const assigned = assignSlots(createSlots(20, 3), createDaemons(6), hashText);
    const singleOwnerUpstreams = createSlots(20, 1).filter(({ upstreamId }) => {
      const rows = assigned.filter((slot) => slot.upstreamId === upstreamId);
      return new Set(rows.map(({ ownerId }) => ownerId)).size === 1;
    });
    expect(singleOwnerUpstreams).to.have.length(0);
  });
});
