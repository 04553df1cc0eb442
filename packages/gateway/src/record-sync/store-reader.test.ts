import { expect } from 'chai';
import { setTimeout as wait } from 'node:timers/promises';

import { createRandom, Replica, StoreOutages } from '@baobabline/core';
import type { StoreChanges, StoredRecord } from '@baobabline/core';

import { SourceRefusedError } from '../dialect/index.js';
import type { RecordSource, SourceAnswer } from '../dialect/index.js';
import { StoreReader } from './store-reader.js';

const POLL_MS = 5;
const STEP_MS = 200;

function buildRecord(id: string, revision: number): StoredRecord {
  const upstream = {
    id,
    service: 's',
    address: '10.0.0.1',
    port: 80,
    dataCentre: 'z',
    slots: 1,
    state: 'ready' as const,
    warmUpMs: 0,
    bornAt: 1,
  };
  return { key: `servers/${id}`, revision, upstream };
}

/** A store whose state the test sets; its watches return after one short delay. */
class FakeSource implements RecordSource {
  records: readonly StoredRecord[] = [];

  revision = 1;

  era = 1;

  isAway = false;

  isRefusing = false;

  onCall: () => void = () => undefined;

  hasForgotten = false;

  /** Watches from an earlier revision fail. */
  historyStart = 0;

  reads = 0;

  wholeReads = 0;

  waits: readonly number[] = [];

  /** Calls that are cut before they are answered, counted down. */
  cuts = 0;

  /** Whether calls that are answered at once are spared. */
  cutsOnlyWaiting = false;

  /** Called when a call is cut. */
  onCut: () => void = () => undefined;

  async readAll(): Promise<SourceAnswer<StoreChanges>> {
    this.#check();
    await this.#abort();
    this.wholeReads += 1;
    const records = this.records.filter(({ upstream }) => upstream);
    const changes = { records, revision: this.revision, isWhole: true };
    return { era: this.era, changes };
  }

  async watch(after: number, waitMs: number): Promise<SourceAnswer<StoreChanges | undefined>> {
    this.#check();
    this.waits = [...this.waits, waitMs];
    if (this.hasForgotten) {
      this.hasForgotten = false;
      return { era: this.era, changes: undefined };
    }
    if (waitMs > 100 || !this.cutsOnlyWaiting) await this.#abort();
    if (after < this.historyStart) return { era: this.era, changes: undefined };
    await wait(POLL_MS);
    const records = this.records.filter(({ revision }) => revision > after);
    return { era: this.era, changes: { records, revision: this.revision, isWhole: false } };
  }

  close(): void {
    this.isAway = true;
  }

  async #abort(): Promise<void> {
    if (this.cuts === 0) return;
    this.cuts -= 1;
    await wait(POLL_MS);
    this.onCut();
    throw new Error('the connection was closed');
  }

  #check(): void {
    this.reads += 1;
    this.onCall();
    if (this.isRefusing) throw new SourceRefusedError('the store answered 503');
    if (this.isAway) throw new Error('the store does not answer');
  }
}

describe('reading the store', () => {
  let source: FakeSource;
  let replica: Replica;
  let reader: StoreReader;
  let isReader = true;
  let events: string[] = [];
  /** When the calls began that confirmed what the store holds. */
  let confirmed: readonly number[] = [];
  /** Time of the reader's clock; the grace period ends only when a test advances it. */
  let now = 0;
  let outages: StoreOutages;

  function listIds(): readonly string[] {
    return replica.listUpstreams().map(({ id }) => id);
  }

  async function waitFor(holds: () => boolean, left = 1000): Promise<void> {
    if (holds()) return;
    if (left === 0) throw new Error('the expected state was not reached in time');
    await wait(POLL_MS);
    await waitFor(holds, left - 1);
  }

  /** Lets time pass for the reader, in steps within which it observes the store. */
  async function advance(ms: number): Promise<void> {
    if (ms <= 0) return;
    now += STEP_MS;
    outages.runTick();
    await wait(1);
    await advance(ms - STEP_MS);
  }

  function createReader(read: Replica): StoreReader {
    const record = (event: string): void => {
      events = [...events, event];
    };
    return new StoreReader({
      clock: { now: () => now },
      random: createRandom(1),
      log: {
        error: record,
        warn: record,
        info: record,
        shouldLogDecision: () => false,
        decision: record,
      },
      replica: read,
      source,
      outages,
      confirmations: {
        now: () => now,
        recordRead: (beganAt) => {
          confirmed = [...confirmed, beganAt];
        },
      },
      shouldRead: () => isReader,
      getIdleMs: () => Number.POSITIVE_INFINITY,
      onCall: () => undefined,
      onChanged: () => undefined,
      onRead: () => undefined,
      onAway: () => undefined,
    });
  }

  beforeEach(() => {
    source = new FakeSource();
    source.records = [buildRecord('a', 2), buildRecord('b', 3)];
    source.revision = 3;
    replica = new Replica();
    isReader = true;
    events = [];
    confirmed = [];
    now = 0;
    outages = new StoreOutages({ registrationIntervalMs: 1500 }, { now: () => now });
    reader = createReader(replica);
    reader.start();
  });

  afterEach(() => reader.stop());

  it('reads all records once and then applies changes from watches', async () => {
    await waitFor(() => listIds().length === 2);
    source.records = [{ key: 'servers/a', revision: 4 }, buildRecord('b', 3)];
    source.revision = 4;
    await waitFor(() => listIds().length === 1);
    expect(listIds()).to.deep.equal(['b']);
  });

  it('reads all records again when the store has lost its history, and removes missing ones', async () => {
    await waitFor(() => listIds().length === 2);
    source.records = [buildRecord('b', 3)];
    source.revision = 9;
    source.hasForgotten = true;
    await waitFor(() => listIds().length === 1);
    expect(events).to.include('store-history-lost');
  });

  it('keeps entries that expired during a store outage until the grace period ends', async () => {
    await waitFor(() => listIds().length === 2);
    source.isAway = true;
    await waitFor(() => events.includes('store-away'));
    await advance(3200);
    source.records = [buildRecord('c', 8)];
    source.revision = 8;
    source.isAway = false;
    await waitFor(() => listIds().includes('c'));
    expect([...listIds()].sort()).to.deep.equal(['a', 'b', 'c']);
    now += 2001;
    await waitFor(() => listIds().length === 1);
    expect(listIds()).to.deep.equal(['c']);
    expect(events).to.include('store-back');
  });

  // Bookings went to an upstream until it exited: a cut watch counted as an outage of the store, in which
  // the entries of upstreams that live may expire.
  const cuts: readonly (readonly [name: string, cuts: number, drops: boolean, isAtCut: boolean])[] =
    [
      ['just after it was cut', 1, false, false],
      ['as it is cut', 1, false, true],
      ['as it is cut twice in a row', 2, false, true],
      ['as it is cut five times in a row while it waits', 5, false, true],
      ['as it is cut and the history is dropped', 1, true, true],
      ['just after it was cut and the history was dropped', 1, true, false],
    ];

  cuts.forEach(([name, count, drops, isAtCut]) => {
    it(`removes an upstream at once that leaves while the watch of the store is open, ${name}`, async () => {
      await waitFor(() => listIds().length === 2);
      const leave = (): void => {
        source.records = drops
          ? [buildRecord('b', 3)]
          : [{ key: 'servers/a', revision: 9 }, buildRecord('b', 3)];
        source.revision = 9;
        if (drops) source.historyStart = 9;
      };
      source.onCut = () => {
        if (isAtCut && source.cuts === 0) leave();
      };
      source.cutsOnlyWaiting = count > 2;
      source.cuts = count;
      await waitFor(() => source.cuts === 0);
      await wait(POLL_MS);
      if (!isAtCut) leave();
      await waitFor(() => listIds().length === 1);
      expect(listIds()).to.deep.equal(['b']);
    });
  });

  it('does not count the time in which the process did not run as an outage', async () => {
    await waitFor(() => listIds().length === 2);
    source.cuts = 1;
    source.onCut = () => {
      now += 6000;
      source.records = [buildRecord('b', 3)];
      source.revision = 9;
      source.historyStart = 9;
    };
    await waitFor(() => listIds().length === 1);
  });

  it('removes an upstream at once that leaves while the store rejects this daemon alone', async () => {
    await waitFor(() => listIds().length === 2);
    source.isAway = true;
    await waitFor(() => events.includes('store-away'));
    await advance(2000);
    outages.recordServed(now - 500);
    await advance(2400);
    source.records = [{ key: 'servers/a', revision: 9 }, buildRecord('b', 3)];
    source.revision = 9;
    source.isAway = false;
    await waitFor(() => listIds().length === 1);
  });

  it('resumes a cut watch without a read of everything', async () => {
    await waitFor(() => listIds().length === 2);
    const { wholeReads } = source;
    source.cuts = 1;
    await waitFor(() => events.includes('store-call-cut'));
    const before = source.reads;
    await waitFor(() => source.reads > before + 2);
    expect([source.wholeReads, events.includes('store-away')]).to.deep.equal([wholeReads, false]);
  });

  it('asks for help at once where the store refuses calls', async () => {
    await waitFor(() => listIds().length === 2);
    source.isRefusing = true;
    await waitFor(() => events.includes('store-away'));
    expect(events).not.to.include('store-call-cut');
  });

  it('reads everything when a watch waited through a restore, and keeps what is missing for a while', async () => {
    await waitFor(() => listIds().length === 2);
    source.records = [buildRecord('a', 2)];
    source.revision = 2;
    source.era = 2;
    await waitFor(() => replica.era === 2);
    await waitFor(() => source.wholeReads >= 3);
    expect([...listIds()].sort()).to.deep.equal(['a', 'b']);
    now += 2001;
    await waitFor(() => listIds().length === 1);
    expect(listIds()).to.deep.equal(['a']);
  });

  it('takes nothing from an answer of an earlier era', async () => {
    source.era = 2;
    await waitFor(() => listIds().length === 2 && replica.era === 2);
    source.era = 1;
    source.records = [{ key: 'servers/a', revision: 9 }, buildRecord('b', 3)];
    source.revision = 9;
    await waitFor(() => events.includes('store-away'));
    expect(listIds().length).to.equal(2);
    source.era = 2;
    await waitFor(() => events.includes('store-back'));
    now += 2001;
    await waitFor(() => listIds().length === 1);
  });

  it('states when the calls began that confirmed what the store holds, and no others', async () => {
    source.onCall = () => {
      now += 1;
    };
    await waitFor(() => confirmed.length > 4);
    expect(Math.max(...confirmed)).to.be.lessThan(now);
    source.onCall = () => undefined;
    now = 1000;
    await waitFor(() => confirmed.includes(1000));
    source.isAway = true;
    await waitFor(() => events.includes('store-away'));
    const { length } = confirmed;
    now = 2000;
    await wait(300);
    expect(confirmed).to.have.length(length);
    source.isAway = false;
    source.era = 2;
    await waitFor(() => replica.era === 2 && confirmed.includes(2000));
    source.era = 1;
    await waitFor(() => events.filter((event) => event === 'store-away').length > 1);
    now = 3000;
    await wait(300);
    expect(confirmed).not.to.include(3000);
  });

  it('takes an answer with an impossible era for one of the era that it knows', async () => {
    await waitFor(() => listIds().length === 2);
    source.era = 1e12;
    source.records = [{ key: 'servers/a', revision: 4 }, buildRecord('b', 3)];
    source.revision = 4;
    await waitFor(() => listIds().length === 1);
    expect(replica.era).to.equal(1);
    expect(events).to.include('era-implausible');
  });

  it('pauses between its calls while the store never has the history that it asks for', async () => {
    await waitFor(() => listIds().length === 2);
    source.historyStart = Number.POSITIVE_INFINITY;
    await wait(POLL_MS);
    const before = source.reads;
    await wait(500);
    expect(source.reads - before).to.be.lessThan(10);
  });

  it('reads everything if what it learned from others is not known to be complete', async () => {
    await waitFor(() => listIds().length === 2);
    reader.stop();
    const learned = new Replica();
    learned.applyChanges({ ...replica.listChangesSince([]), completeAt: undefined }, now);
    expect([learned.revision, learned.hasCompleteRead]).to.deep.equal([3, false]);
    const { wholeReads } = source;
    reader = createReader(learned);
    reader.start();
    await waitFor(() => source.wholeReads > wholeReads);
  });

  it('does not wait in its first watch, unless it has just read everything', async () => {
    await waitFor(() => source.waits.length > 1);
    expect(Math.min(...source.waits)).to.be.greaterThan(100);
    isReader = false;
    await wait(300);
    source.waits = [];
    isReader = true;
    await waitFor(() => source.waits.length > 1);
    expect(source.waits[0]).to.be.lessThan(10);
    expect(source.waits[1]).to.be.greaterThan(100);
  });

  it('makes no calls to the store while it is not a reader', async () => {
    await waitFor(() => listIds().length === 2);
    isReader = false;
    await wait(150);
    const before = source.reads;
    await wait(150);
    expect(source.reads).to.equal(before);
    isReader = true;
    source.records = [buildRecord('d', 7)];
    source.revision = 7;
    await waitFor(() => listIds().includes('d'));
  });
});
