import { expect } from 'chai';

import { StoreOutages } from './store-outages.js';

const TICK_MS = 200;
const INTERVAL_MS = 1500;

describe('outages of the store', () => {
  let now = 0;
  let outages: StoreOutages;

  function advance(ms: number): void {
    if (ms <= 0) return;
    now += TICK_MS;
    outages.runTick();
    advance(ms - TICK_MS);
  }

  beforeEach(() => {
    now = 0;
    outages = new StoreOutages({ registrationIntervalMs: INTERVAL_MS }, { now: () => now });
    outages.recordServed(0);
  });

  // Bookings reached an upstream that had left: whatever ended a call counted as an outage.
  it('are not concluded from a silence in which no entry can expire', () => {
    advance(2 * INTERVAL_MS);
    expect(outages.mayLackEntries).to.equal(false);
    outages.recordServed(now);
    expect(outages.mayLackEntries).to.equal(false);
  });

  // Capacity went missing after an outage, until live upstreams had registered again.
  it('keep entries for two seconds after a silence in which entries can expire', () => {
    advance(2 * INTERVAL_MS + TICK_MS);
    expect(outages.mayLackEntries).to.equal(true);
    outages.recordServed(now);
    advance(1800);
    expect(outages.mayLackEntries).to.equal(true);
    advance(TICK_MS);
    expect(outages.mayLackEntries).to.equal(false);
  });

  // A daemon that the store rejected alone kept upstreams that had left.
  it('are not concluded while other daemons tell of their reads', () => {
    advance(2400);
    outages.recordServed(now - 500);
    advance(2400);
    outages.recordServed(now);
    expect(outages.mayLackEntries).to.equal(false);
  });

  // The first daemon that hears of the return would hide the outage from those that hear of it later.
  it('are still known once another daemon has told of the return', () => {
    advance(6000);
    outages.recordServed(now - 100);
    outages.recordServed(now);
    expect(outages.mayLackEntries).to.equal(true);
  });

  // A process that was stopped took its own pause for an outage.
  it('leave out the time in which the process did not run', () => {
    now += 8000;
    outages.recordServed(now);
    expect(outages.mayLackEntries).to.equal(false);
  });

  it('last longer than the time in which a fleet without readers hears of the store', () => {
    outages = new StoreOutages({ registrationIntervalMs: 200 }, { now: () => now });
    outages.recordServed(0);
    advance(1800);
    outages.recordServed(now);
    expect(outages.mayLackEntries).to.equal(false);
  });
});
