import { createRandom } from '@baobabline/core';
import type { ClientAccount } from '@baobabline/core';
import { expect } from 'chai';

import { QUOTA_BOUNDS, SimulatedQuotaFleet } from './simulated-quota-fleet.js';

type Fault = {
  readonly title: string;
  readonly events?: Readonly<Record<number, (fleet: SimulatedQuotaFleet, size: number) => void>>;
  readonly isLegacy?: (index: number) => boolean;
};

const FLOOD_AT_MS = 3000;
const DURATION_MS = 10_000;
const MS_PER_SECOND = 1000;
/** Quotas are 1.6 times the usual rate, and the flood is 7.5 times that rate. */
const USUAL_PART = 1 / 1.6;
const FLOOD_PART = 7.5 / 1.6;
const LOSS = 0.025;
const ALL = Number.POSITIVE_INFINITY;

function buildAccount(name: string, ratePerSecond: number, burst: number): ClientAccount {
  return { name, keyDigests: [], ratePerSecond, burst };
}

const ACCOUNTS = [
  buildAccount('small', 1.6, 3),
  buildAccount('middle', 20, 20),
  buildAccount('large', 300, 300),
];

function listAll(size: number): readonly number[] {
  return Array.from({ length: size }, (_, index) => index);
}

function restoreLinks(fleet: SimulatedQuotaFleet): void {
  fleet.silence(() => false);
}

const FAULTS: readonly Fault[] = [
  { title: 'no fault' },
  {
    title: 'a partition into two sides that begins with the flood',
    events: {
      [FLOOD_AT_MS]: (fleet) => fleet.silence((from, to) => from % 6 < 3 !== to % 6 < 3),
      8000: restoreLinks,
    },
  },
  {
    title: 'a partition into three sides that begins with the flood',
    events: {
      [FLOOD_AT_MS]: (fleet) => fleet.silence((from, to) => from % 3 !== to % 3),
      8000: restoreLinks,
    },
  },
  {
    title: 'a partition during the flood',
    events: {
      5000: (fleet) => fleet.silence((from, to) => from % 3 !== to % 3),
      9000: restoreLinks,
    },
  },
  {
    title: 'one data centre that is not heard, and then does not hear',
    events: {
      [FLOOD_AT_MS]: (fleet) => fleet.silence((from, to) => from % 3 === 0 && to % 3 !== 0),
      6000: (fleet) => fleet.silence((from, to) => from % 3 !== 0 && to % 3 === 0),
      9000: restoreLinks,
    },
  },
  {
    title: 'a restart of 55 in 100 daemons',
    events: {
      6000: (fleet, size) =>
        fleet.startDaemons(listAll(size).filter((index) => (index * 7) % 20 < 11)),
    },
  },
  {
    title: 'a restart of all daemons when the flood begins',
    events: { [FLOOD_AT_MS]: (fleet, size) => fleet.startDaemons(listAll(size)) },
  },
  {
    title: 'a restart of all daemons during the flood',
    events: { 6000: (fleet, size) => fleet.startDaemons(listAll(size)) },
  },
  {
    title: 'two frozen daemons',
    events: {
      3500: (fleet) => [0, 1].forEach((index) => fleet.freezeDaemon(index)),
      7000: (fleet) => [0, 1].forEach((index) => fleet.thawDaemon(index)),
    },
  },
  { title: 'daemons of the version before', isLegacy: (index) => index % 2 === 1 },
];

/** The most admissions in any window, by two positions that move through the sorted times. */
function countMostInWindow(times: readonly number[]): number {
  let first = 0;
  return times.reduce((most, time, last) => {
    const skipped = times.slice(first).findIndex((one) => one > time - QUOTA_BOUNDS.windowMs);
    first += Math.max(0, skipped);
    return Math.max(most, last - first + 1);
  }, 0);
}

function computeAllowed({ ratePerSecond = 0, burst }: ClientAccount): number {
  const { windowMs, overshoot, slack } = QUOTA_BOUNDS;
  return ((ratePerSecond * windowMs) / MS_PER_SECOND + burst) * (1 + overshoot) + slack;
}

/** Floods the accounts through some daemons; returns the fleet afterwards. */
function runFlood(size: number, through: number, fault: Fault, seed: number): SimulatedQuotaFleet {
  const dispatchersPerDataCentre = Math.min(5, Math.ceil(size / 18));
  const { isLegacy, events } = fault;
  const fleet = new SimulatedQuotaFleet({
    seed,
    size,
    dispatchersPerDataCentre,
    accounts: ACCOUNTS,
    loss: LOSS,
    ...(isLegacy && { isLegacy }),
  });
  const random = createRandom(seed + 1);
  const entries = Math.min(through, size);
  fleet.advance(DURATION_MS, () => {
    events?.[fleet.now]?.(fleet, size);
    const part = fleet.now < FLOOD_AT_MS ? USUAL_PART : FLOOD_PART;
    ACCOUNTS.forEach((account) => {
      const expected = ((account.ratePerSecond ?? 0) * part) / MS_PER_SECOND;
      const count = Math.floor(expected + random.next());
      Array.from({ length: count }).forEach(() =>
        fleet.sendRequest(Math.floor(random.next() * entries), account),
      );
    });
  });
  return fleet;
}

/** Without the restriction a flood through all of 293 daemons would take minutes to simulate. */
const COSTLY_FAULTS = [0, 2, 7];

describe('the quota of a client account over the fleet', () => {
  // Daemons that admit on what they know, and are told of each other's admissions later, sum up.
  [6, 36, 293].forEach((size) =>
    [1, 10, ALL].forEach((through) =>
      FAULTS.forEach((fault, index) => {
        if (size === 293 && through === ALL && !COSTLY_FAULTS.includes(index)) return;
        const entries = through === ALL ? 'all' : String(through);
        it(`is kept by ${size} daemons with a flood through ${entries}: ${fault.title}`, () => {
          const fleet = runFlood(size, through, fault, size + index);
          ACCOUNTS.forEach((account) => {
            const times = fleet.admissions
              .filter(({ account: name }) => name === account.name)
              .map(({ at }) => at);
            expect(countMostInWindow(times), account.name).to.be.at.most(computeAllowed(account));
          });
          // Guards against a fleet that keeps quotas by refusing everything.
          expect(fleet.admissions.length).to.be.greaterThan(300);
        }).timeout(120_000);
      }),
    ),
  );
});
