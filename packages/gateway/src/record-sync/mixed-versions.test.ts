/**
 * Guards against records that a daemon of an earlier version has decoded and that count as the store's:
 * during an upgrade and after it the fleet went on without the client accounts that such a daemon leaves
 * out, since versions and revisions were the same.
 */
import { expect } from 'chai';
import { syncBuiltinESMExports } from 'node:module';
import { mock } from 'node:test';

import { SimulatedRecordFleet } from './simulated-record-fleet.js';
import type { SimulatedDaemon } from './simulated-record-fleet.js';

const SIZES = [8, 6];
const SEEDS = [1, 2, 3, 4, 5, 6];
const APPLY_BOUND_MS = 2500;
const LOSS_PROBABILITY = 0.01;
const KEY_DIGEST = 'a'.repeat(43);

function buildConfiguration(version: number, hasAccounts: boolean) {
  const accounts = [{ name: 'north', keyDigests: [KEY_DIGEST], burst: 0 }];
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const configuration = { version, routes: [], limits, ...(hasAccounts ? { accounts } : {}) };
  return { key: 'op/config', configuration };
}

describe('records in a fleet of two versions', () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
    syncBuiltinESMExports();
  });

  afterEach(() => {
    mock.timers.reset();
    syncBuiltinESMExports();
  });

  async function runMixed(
    seed: number,
    isEarlier: (rank: number) => boolean,
    check: (fleet: SimulatedRecordFleet, present: readonly SimulatedDaemon[]) => Promise<void>,
  ): Promise<void> {
    const fleet = new SimulatedRecordFleet({
      sizes: SIZES,
      seed,
      lossProbability: LOSS_PROBABILITY,
    });
    ['dc-0', 'dc-1'].forEach((name) =>
      fleet
        .listRanked(name)
        .forEach((one, rank) => Object.assign(one, { isEarlierVersion: isEarlier(rank) })),
    );
    fleet.publish(buildConfiguration(1, false));
    fleet.start();
    await fleet.runFor(4000);
    const present = fleet.daemons.filter(({ isEarlierVersion }) => !isEarlierVersion);
    await check(fleet, present);
    fleet.stop();
    await fleet.runFor(3000);
  }

  const shares: readonly (readonly [string, (rank: number) => boolean])[] = [
    ['all readers are of the earlier one', (rank) => rank < 4],
    ['the last in rank alone is of the present one', (rank) => rank < 5],
    ['every other daemon is of the earlier one', (rank) => rank % 2 === 0],
    ['all readers are of the present one', (rank) => rank >= 2],
  ];

  shares.forEach(([name, isEarlier]) =>
    it(`are those of the store on the present one where ${name}`, async () =>
      SEEDS.reduce(async (before, seed) => {
        await before;
        await runMixed(seed, isEarlier, async (fleet, present) => {
          fleet.publish(buildConfiguration(2, true));
          await fleet.runFor(APPLY_BOUND_MS);
          present.forEach(({ replica, member }) => {
            const accounts = replica.configuration?.accounts;
            expect(accounts, `${member.id} with seed ${seed}`).to.have.length(1);
          });
        });
      }, Promise.resolve())).timeout(30_000),
  );

  it('are read by few daemons of the present one, and by its readers alone in the end', async () => {
    await runMixed(
      7,
      (rank) => rank < 3,
      async (fleet, present) => {
        fleet.callers.clear();
        await fleet.runFor(4000);
        const calling = present.filter(({ member }) => fleet.callers.has(member.id));
        expect(calling).to.have.length(2);
      },
    );
  });

  it('renew no lease of the present one where a daemon of the earlier one confirms them', async () => {
    await runMixed(
      8,
      (rank) => rank < 4,
      async (fleet, present) => {
        fleet.publish(buildConfiguration(2, true));
        await fleet.runFor(APPLY_BOUND_MS);
        expect(present.every(({ keyLease }) => keyLease.validity.mayAccept())).to.equal(true);
        present.forEach((one) => Object.assign(one, { isCutFromStore: true }));
        await fleet.runFor(6000);
        expect(present.some(({ keyLease }) => keyLease.validity.mayAccept())).to.equal(false);
      },
    );
  });
});
