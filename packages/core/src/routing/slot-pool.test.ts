import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import { SlotPool } from './index.js';
import { RandomSlot } from './random-slot.js';
import type { SlotGrant, Ticket, UpstreamStanding } from './index.js';

function createTicket(requestId: string, changes: Partial<Ticket> = {}): Ticket {
  return {
    requestId,
    customer: 'c-1',
    share: 1,
    weight: 1,
    deadline: 1000,
    repeatable: true,
    excludedUpstreams: [],
    ...changes,
  };
}

class PoolFixture {
  now = 0;

  readonly standings = new Map<string, UpstreamStanding>();

  readonly granted: string[] = [];

  readonly expired: string[] = [];

  readonly pool = new SlotPool({
    clock: { now: () => this.now },
    random: createRandom(1),
    chooser: new RandomSlot(),
    getStanding: (id) => this.standings.get(id) ?? 'healthy',
  });

  constructor(upstreams: readonly string[]) {
    this.pool.setSlots(
      upstreams.map((upstreamId) => ({ id: `${upstreamId}#0`, upstreamId, index: 0 })),
    );
  }

  acquire(ticket: Ticket): SlotGrant {
    return this.pool.acquire(ticket) as SlotGrant;
  }

  wait(ticket: Ticket): void {
    this.pool.wait(ticket, {
      onGrant: () => this.granted.push(ticket.requestId),
      onExpired: () => this.expired.push(ticket.requestId),
      onDropped: () => this.expired.push(ticket.requestId),
    });
  }
}

describe('SlotPool', () => {
  it('never grants a slot twice', () => {
    const fixture = new PoolFixture(['a', 'b']);
    const slots = ['1', '2'].map((id) => fixture.acquire(createTicket(id)).slot.id);
    expect(new Set(slots).size).to.equal(2);
    expect(fixture.pool.acquire(createTicket('3'))).to.equal(undefined);
  });

  it('passes barred and already tried upstreams over, and says so', () => {
    const fixture = new PoolFixture(['a', 'b', 'c']);
    fixture.standings.set('a', 'barred');
    const grant = fixture.acquire(createTicket('1', { excludedUpstreams: ['b'] }));
    expect(grant.slot.upstreamId).to.equal('c');
    expect(grant.listPassedOver()).to.have.deep.members([
      { reason: 'barred', slots: ['a#0'] },
      { reason: 'excluded', slots: ['b#0'] },
    ]);
  });

  it('uses a doubtful upstream last', () => {
    const fixture = new PoolFixture(['a', 'b']);
    fixture.standings.set('a', 'doubtful');
    expect(fixture.acquire(createTicket('1')).slot.upstreamId).to.equal('b');
    expect(fixture.acquire(createTicket('2')).slot.upstreamId).to.equal('a');
  });

  it('sends nothing that may not be repeated to an upstream on trial', () => {
    const fixture = new PoolFixture(['a']);
    fixture.standings.set('a', 'trial');
    expect(fixture.pool.acquire(createTicket('1', { repeatable: false }))).to.equal(undefined);
    expect(fixture.acquire(createTicket('2')).slot.upstreamId).to.equal('a');
  });

  it('grants a freed slot to the customer that had least for its share', () => {
    const fixture = new PoolFixture(['a']);
    const { slot } = fixture.acquire(createTicket('first', { customer: 'greedy' }));
    fixture.wait(createTicket('greedy-1', { customer: 'greedy', deadline: 500 }));
    fixture.wait(createTicket('modest-1', { customer: 'modest', deadline: 900 }));
    fixture.pool.release(slot, 10);
    expect(fixture.granted).to.deep.equal(['modest-1']);
  });

  it('expires what has waited past its deadline', () => {
    const fixture = new PoolFixture(['a']);
    fixture.acquire(createTicket('1'));
    fixture.wait(createTicket('2', { deadline: 100 }));
    fixture.now = 100;
    fixture.pool.runTick();
    expect(fixture.expired).to.deep.equal(['2']);
    expect(fixture.pool.waitingCount).to.equal(0);
  });
});
