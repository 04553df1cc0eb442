import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import { SlotPool } from './index.js';
import { RandomSlot } from './random-slot.js';
import type { SlotGrant, SlotRequest, UpstreamHealth } from './index.js';

function createSlotRequest(requestId: string, changes: Partial<SlotRequest> = {}): SlotRequest {
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

  readonly healthByUpstream = new Map<string, UpstreamHealth>();

  readonly granted: string[] = [];

  readonly expired: string[] = [];

  readonly pool = new SlotPool({
    clock: { now: () => this.now },
    random: createRandom(1),
    chooser: new RandomSlot(),
    getHealth: (id) => this.healthByUpstream.get(id) ?? 'healthy',
  });

  constructor(upstreams: readonly string[]) {
    this.pool.setSlots(
      upstreams.map((upstreamId) => ({ id: `${upstreamId}#0`, upstreamId, index: 0 })),
    );
  }

  acquire(request: SlotRequest): SlotGrant {
    return this.pool.acquire(request) as SlotGrant;
  }

  wait(request: SlotRequest): void {
    this.pool.wait(request, {
      onGrant: () => this.granted.push(request.requestId),
      onExpired: () => this.expired.push(request.requestId),
      onDropped: () => this.expired.push(request.requestId),
    });
  }
}

describe('SlotPool', () => {
  it('never grants a slot twice', () => {
    const fixture = new PoolFixture(['a', 'b']);
    const slots = ['1', '2'].map((id) => fixture.acquire(createSlotRequest(id)).slot.id);
    expect(new Set(slots).size).to.equal(2);
    expect(fixture.pool.acquire(createSlotRequest('3'))).to.equal(undefined);
  });

  it('grants no slot of barred or excluded upstreams, and lists them as passed over', () => {
    const fixture = new PoolFixture(['a', 'b', 'c']);
    fixture.healthByUpstream.set('a', 'barred');
    const grant = fixture.acquire(createSlotRequest('1', { excludedUpstreams: ['b'] }));
    expect(grant.slot.upstreamId).to.equal('c');
    expect(grant.listPassedOver()).to.have.deep.members([
      { reason: 'barred', slots: ['a#0'] },
      { reason: 'excluded', slots: ['b#0'] },
    ]);
  });

  it('grants a slot of a suspect upstream only when no other is free', () => {
    const fixture = new PoolFixture(['a', 'b']);
    fixture.healthByUpstream.set('a', 'suspect');
    expect(fixture.acquire(createSlotRequest('1')).slot.upstreamId).to.equal('b');
    expect(fixture.acquire(createSlotRequest('2')).slot.upstreamId).to.equal('a');
  });

  it('sends only repeatable requests to an upstream on trial', () => {
    const fixture = new PoolFixture(['a']);
    fixture.healthByUpstream.set('a', 'trial');
    expect(fixture.pool.acquire(createSlotRequest('1', { repeatable: false }))).to.equal(undefined);
    expect(fixture.acquire(createSlotRequest('2')).slot.upstreamId).to.equal('a');
  });

  it('grants a freed slot to the customer that was served least for its share', () => {
    const fixture = new PoolFixture(['a']);
    const { slot } = fixture.acquire(createSlotRequest('first', { customer: 'greedy' }));
    fixture.wait(createSlotRequest('greedy-1', { customer: 'greedy', deadline: 500 }));
    fixture.wait(createSlotRequest('modest-1', { customer: 'modest', deadline: 900 }));
    fixture.pool.release(slot, 10);
    expect(fixture.granted).to.deep.equal(['modest-1']);
  });

  it('expires waiting requests whose deadline has passed', () => {
    const fixture = new PoolFixture(['a']);
    fixture.acquire(createSlotRequest('1'));
    fixture.wait(createSlotRequest('2', { deadline: 100 }));
    fixture.now = 100;
    fixture.pool.runTick();
    expect(fixture.expired).to.deep.equal(['2']);
    expect(fixture.pool.waitingCount).to.equal(0);
  });
});
