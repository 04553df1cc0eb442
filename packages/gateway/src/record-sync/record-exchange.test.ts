import { createRandom } from '@baobabline/core';
import { expect } from 'chai';
import { syncBuiltinESMExports } from 'node:module';
import { mock } from 'node:test';

import { SimulatedRecordFleet } from './simulated-record-fleet.js';
import type { SimulatedDaemon } from './simulated-record-fleet.js';

/** Both the time to apply a configuration and the time to stop using a leaving upstream are 2 s. */
const APPLY_BOUND_MS = 2000;
const ROOM_MS = 200;
const WARM_UP_MS = 4000;
const LOSS_PROBABILITY = 0.01;
const SMALL = [12];
const MEDIUM = [12, 12, 12];
const LARGE = [98, 98, 97];
const DRAWS = 60;

const UPSTREAM = {
  key: 'servers/i-1',
  upstream: {
    id: 'i-1',
    service: 's',
    address: '10.9.0.1',
    port: 80,
    dataCentre: 'dc-0',
    slots: 1,
    state: 'draining' as const,
    warmUpMs: 0,
    bornAt: 1,
  },
};

const CONFIGURATION = {
  key: 'op/config',
  configuration: {
    version: 7,
    limits: {
      maxHeaderBytes: 8192,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 2000,
      idleTimeoutMs: 10_000,
    },
    routes: [],
  },
};

/** An upstream that has left gets no work later than this, whatever the daemons' calls meet. */
const REMOVAL_BOUND_MS = 1000;

/** When the store cuts the watches that wait, and when an upstream leaves, in milliseconds. */
const CUT_PATTERNS = [
  { name: 'as watches are cut', cutsMs: [0], removedMs: 0, dropsHistory: false },
  { name: 'after watches were cut', cutsMs: [0], removedMs: 50, dropsHistory: false },
  { name: 'after watches were cut twice', cutsMs: [0, 30], removedMs: 50, dropsHistory: false },
  {
    name: 'while watches are cut again and again',
    cutsMs: [0, 100, 200, 300, 400, 500, 600],
    removedMs: 600,
    dropsHistory: false,
  },
  { name: 'as history is dropped too', cutsMs: [0], removedMs: 0, dropsHistory: true },
];

type Outage = {
  readonly sizes: readonly number[];
  readonly seed: number;
  /** Chooses the daemons that go dark. */
  readonly choose: (fleet: SimulatedRecordFleet) => readonly SimulatedDaemon[];
  /** From the outage to the publication, in milliseconds. */
  readonly leadMs: number;
};

describe('records while daemons are dark', () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
    syncBuiltinESMExports();
  });

  afterEach(() => {
    mock.timers.reset();
    syncBuiltinESMExports();
  });

  async function startFleet(
    sizes: readonly number[],
    seed: number,
    lossProbability = LOSS_PROBABILITY,
  ): Promise<SimulatedRecordFleet> {
    const fleet = new SimulatedRecordFleet({ sizes, seed, lossProbability });
    fleet.start();
    await fleet.runFor(WARM_UP_MS + seed * 10);
    return fleet;
  }

  /** How long after the store's confirmation the last sound daemon has both published records. */
  async function measureLastMs(outage: Outage): Promise<number> {
    const fleet = await startFleet(outage.sizes, outage.seed);
    const chosen = outage.choose(fleet);
    chosen.forEach((daemon) => Object.assign(daemon, { isDark: true }));
    await fleet.runFor(outage.leadMs);
    fleet.publish(UPSTREAM);
    const revision = fleet.publish(CONFIGURATION);
    const publishedAt = fleet.now;
    const sound = fleet.daemons.filter(({ isDark, isCutFromStore }) => !isDark && !isCutFromStore);
    const isDone = (): boolean => sound.every(({ replica }) => replica.revision >= revision);
    await fleet.runFor(3 * APPLY_BOUND_MS, isDone);
    fleet.stop();
    await fleet.runFor(2 * APPLY_BOUND_MS);
    return isDone() ? fleet.now - 2 * APPLY_BOUND_MS - publishedAt : Number.POSITIVE_INFINITY;
  }

  /** The daemons that read next in each data centre. */
  function chooseNextReaders(fleet: SimulatedRecordFleet, count: number): SimulatedDaemon[] {
    const dataCentres = [...new Set(fleet.daemons.map(({ member }) => member.dataCentre))];
    return dataCentres.flatMap((name) => fleet.listRanked(name).slice(0, count));
  }

  const counts: readonly (readonly [readonly number[], number])[] = [
    ...[0, 1, 2, 3, 6, 11].map((count) => [SMALL, count] as const),
    ...[1, 2, 6, 11].map((count) => [MEDIUM, count] as const),
    ...[2, 50].map((count) => [LARGE, count] as const),
  ];

  counts.forEach(([sizes, count]) => {
    const total = sizes.reduce((sum, size) => sum + size, 0);
    it(`reach all other daemons of ${total} in time if the next ${count} readers go dark`, async () => {
      const lastMs = await measureLastMs({
        sizes,
        seed: count + 1,
        choose: (fleet) => chooseNextReaders(fleet, count),
        leadMs: 60,
      });
      expect(lastMs).to.be.lessThan(APPLY_BOUND_MS - ROOM_MS);
    }).timeout(60_000);
  });

  it('reach all other daemons in time whichever are dark, and whenever they went dark', async () => {
    const random = createRandom(11);
    const draw = async (left: number, lastMs: readonly number[]): Promise<readonly number[]> => {
      if (left === 0) return lastMs;
      const share = random.next();
      const outage: Outage = {
        sizes: SMALL,
        seed: left,
        choose: (fleet) => fleet.daemons.slice(1).filter(() => random.next() < share),
        leadMs: Math.floor(random.next() * 150) * 10,
      };
      return draw(left - 1, [...lastMs, await measureLastMs(outage)]);
    };
    const lastMs = await draw(DRAWS, []);
    expect(Math.max(...lastMs)).to.be.lessThan(APPLY_BOUND_MS - ROOM_MS);
  }).timeout(60_000);

  it('reach all daemons in time that are in touch if the reader is cut off and the next are dark', async () => {
    const lastMs = await measureLastMs({
      sizes: MEDIUM,
      seed: 5,
      choose: (fleet) => {
        const readers = chooseNextReaders(fleet, 1);
        readers.forEach((daemon) => Object.assign(daemon, { isCutFromStore: true }));
        return chooseNextReaders(fleet, 4).filter((daemon) => !readers.includes(daemon));
      },
      leadMs: 60,
    });
    expect(lastMs).to.be.lessThan(APPLY_BOUND_MS - ROOM_MS);
  }).timeout(60_000);

  // Bookings were sent to an upstream until it exited: daemons took a cut watch for an outage.
  [[1], [1, 1, 1], [2, 2, 2], [3, 3, 3], MEDIUM, LARGE].forEach((sizes) => {
    const total = sizes.reduce((sum, size) => sum + size, 0);

    CUT_PATTERNS.forEach(({ name, cutsMs, removedMs, dropsHistory }) => {
      it(`show ${total} daemons in ${sizes.length} data centres that an upstream has left, ${name}`, async () => {
        const fleet = await startFleet(sizes, 3);
        fleet.publish(UPSTREAM);
        await fleet.runFor(APPLY_BOUND_MS);
        const startedAt = fleet.now;
        const hasLeft = (): boolean =>
          fleet.daemons.every(({ replica }) => replica.listUpstreams().length === 0);
        await cutsMs.reduce(async (before, cutMs) => {
          await before;
          await fleet.runFor(startedAt + cutMs - fleet.now);
          fleet.abortWatches();
        }, Promise.resolve());
        await fleet.runFor(startedAt + removedMs - fleet.now);
        if (dropsHistory) fleet.dropHistory();
        fleet.publish({ key: UPSTREAM.key });
        const removedAt = fleet.now;
        await fleet.runFor(REMOVAL_BOUND_MS, hasLeft);
        const tookMs = fleet.now - removedAt;
        fleet.stop();
        await fleet.runFor(APPLY_BOUND_MS);
        expect([hasLeft(), tookMs < REMOVAL_BOUND_MS]).to.deep.equal([true, true], `${tookMs} ms`);
      }).timeout(60_000);
    });
  });

  it('are not replaced by those of a reader that comes back with earlier ones', async () => {
    const fleet = await startFleet(SMALL, 3);
    const [reader] = chooseNextReaders(fleet, 1) as [SimulatedDaemon];
    reader.isDark = true;
    fleet.publish(UPSTREAM);
    await fleet.runFor(APPLY_BOUND_MS);
    Object.assign(reader, { isDark: false, isCutFromStore: true });
    await fleet.runFor(60);
    const revision = fleet.publish(CONFIGURATION);
    const sound = fleet.daemons.filter((daemon) => daemon !== reader);
    await fleet.runFor(APPLY_BOUND_MS - ROOM_MS);
    expect(sound.filter(({ replica }) => replica.revision < revision)).to.deep.equal([]);
    fleet.stop();
    await fleet.runFor(APPLY_BOUND_MS);
  });

  it('are read by one substitute of each data centre as long as the next readers stay dark', async () => {
    const fleet = await startFleet(MEDIUM, 2, 0);
    chooseNextReaders(fleet, 6).forEach((one) => Object.assign(one, { isDark: true }));
    await fleet.runFor(2 * APPLY_BOUND_MS);
    fleet.callers.clear();
    await fleet.runFor(APPLY_BOUND_MS);
    expect(fleet.callers.size).to.equal(MEDIUM.length);
    fleet.stop();
    await fleet.runFor(APPLY_BOUND_MS);
  });

  it('are read by the readers alone while nobody is dark and no datagram is lost', async () => {
    const fleet = await startFleet(MEDIUM, 1, 0);
    fleet.callers.clear();
    fleet.publish(UPSTREAM);
    await fleet.runFor(10_000);
    const readers = chooseNextReaders(fleet, 1).map(({ member }) => member.id);
    expect([...fleet.callers].sort()).to.deep.equal([...readers].sort());
    fleet.stop();
    await fleet.runFor(APPLY_BOUND_MS);
  });

  [0, 1].forEach((darkCount) => {
    it(`are asked for by few of 293 daemons while the store is silent, ${darkCount} readers dark`, async () => {
      const fleet = await startFleet(LARGE, 2);
      chooseNextReaders(fleet, darkCount).forEach((one) => Object.assign(one, { isDark: true }));
      fleet.isStoreSilent = true;
      fleet.callers.clear();
      await fleet.runFor(6000);
      expect(fleet.callers.size).to.be.lessThan(fleet.daemons.length / 4);
      fleet.stop();
      await fleet.runFor(APPLY_BOUND_MS);
    }).timeout(60_000);
  });
});
