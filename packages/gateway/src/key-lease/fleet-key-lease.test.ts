/**
 * Guards against removed keys that the daemons of a fleet accept after the bound, and against messages
 * where no lease is needed.
 */
import { RouteTable } from '@baobabline/core';
import type { ConfigurationPosition } from '@baobabline/core';
import { expect } from 'chai';
import { syncBuiltinESMExports } from 'node:module';
import { mock } from 'node:test';

import { checkKeyAgain } from '../caller-keys/index.js';
import { formatBody } from '../datagrams/index.js';
import { REVOCATION_MS, SimulatedRecordFleet } from '../record-sync/simulated-record-fleet.js';
import type { SimulatedDaemon } from '../record-sync/simulated-record-fleet.js';
import {
  formatLeaseAnswer,
  formatLeaseQuestion,
  parseLeaseAnswer,
  parseLeaseQuestion,
} from './messages.js';

const SIZES = [5, 4, 4];
const SEED = 4;
const LOSS_PROBABILITY = 0.02;
const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const [KEPT, REMOVED] = ['a'.repeat(43), 'b'.repeat(43)] as [string, string];

function buildConfiguration(version: number, keyDigests?: readonly string[]) {
  const accounts = keyDigests && [{ name: 'north', keyDigests: [...keyDigests], burst: 0 }];
  const configuration = { version, routes: [], limits: LIMITS, ...(accounts && { accounts }) };
  return { key: 'op/config', configuration };
}

/** Whether a daemon would send a waiting request with the key. */
function isAccepting({ keyLease, replica }: SimulatedDaemon, keyDigest: string): boolean {
  if (!replica.configuration) return false;
  const caller = { account: { name: 'north', keyDigests: [], burst: 0 }, keyDigest };
  const accounts = keyLease.findAccounts(new RouteTable(buildConfiguration(0).configuration));
  return (
    checkKeyAgain(caller, accounts ?? { accounts: undefined }, keyLease.validity) === undefined
  );
}

describe('the key leases of a fleet', () => {
  let fleet: SimulatedRecordFleet;
  let questions = 0;

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
    syncBuiltinESMExports();
    questions = 0;
    const settings = { sizes: SIZES, seed: SEED, lossProbability: LOSS_PROBABILITY };
    fleet = new SimulatedRecordFleet(settings);
    fleet.daemons.forEach(({ handlers }) => {
      const handle = handlers.get('lease-question');
      handlers.set('lease-question', (body, sender) => {
        questions += 1;
        return handle?.(body, sender) ?? false;
      });
    });
    fleet.start();
  });

  afterEach(async () => {
    fleet.stop();
    await fleet.runFor(3000);
    mock.timers.reset();
    syncBuiltinESMExports();
  });

  function listAccepting(keyDigest: string): readonly string[] {
    return fleet.daemons
      .filter((daemon) => isAccepting(daemon, keyDigest))
      .map(({ member }) => member.id);
  }

  it('are not asked about where the configuration has no accounts', async () => {
    fleet.publish(buildConfiguration(1));
    await fleet.runFor(4000);
    expect(questions).to.equal(0);
    expect(fleet.daemons.map(({ keyLease }) => keyLease.ageMs)).to.include.members([0]);
  });

  it('hold while the reader of a data centre is cut off from the store', async () => {
    fleet.publish(buildConfiguration(1, [KEPT]));
    await fleet.runFor(3000);
    expect(listAccepting(KEPT)).to.have.length(fleet.daemons.length);
    fleet
      .listRanked('dc-0')
      .slice(0, 1)
      .forEach((one) => Object.assign(one, { isCutFromStore: true }));
    const lost = new Set<string>();
    await fleet.runFor(12_000, () => {
      const accepting = listAccepting(KEPT);
      fleet.daemons
        .filter(({ member }) => !accepting.includes(member.id))
        .forEach(({ member }) => lost.add(member.id));
      return false;
    });
    expect([...lost]).to.deep.equal([]);
  });

  it('end within the bound where a daemon is dark or the store is silent, and come back', async () => {
    fleet.publish(buildConfiguration(1, [KEPT, REMOVED]));
    await fleet.runFor(3000);
    Object.assign(fleet.daemons[1] ?? {}, { isDark: true });
    fleet.publish(buildConfiguration(2, [KEPT]));
    await fleet.runFor(REVOCATION_MS);
    expect(listAccepting(REMOVED)).to.deep.equal([]);
    expect(listAccepting(KEPT)).to.have.length(fleet.daemons.length - 1);
    const listCutOff = (): readonly SimulatedDaemon[] =>
      fleet.daemons.filter(({ keyLease }) => keyLease.isCutOff);
    expect(listCutOff()).to.deep.equal(fleet.daemons.slice(1, 2));
    fleet.isStoreSilent = true;
    await fleet.runFor(REVOCATION_MS);
    expect(listAccepting(KEPT)).to.deep.equal([]);
    expect(listCutOff()).to.deep.equal(fleet.daemons.slice(1, 2));
    fleet.isStoreSilent = false;
    await fleet.runFor(4000);
    expect(listAccepting(KEPT)).to.have.length(fleet.daemons.length - 1);
  });

  it('end within the bound where the store holds a configuration that no daemon can use', async () => {
    fleet.publish(buildConfiguration(1, [KEPT, REMOVED]));
    await fleet.runFor(3000);
    expect(listAccepting(REMOVED)).to.have.length(fleet.daemons.length);
    fleet.publish({ key: 'op/config' });
    await fleet.runFor(2000);
    const readers = ['dc-0', 'dc-1', 'dc-2'].flatMap((one) => fleet.listRanked(one).slice(0, 1));
    // Daemons that have only heard of the unusable one read in the place of these from now on.
    readers.forEach((one) => Object.assign(one, { isDark: true }));
    await fleet.runFor(REVOCATION_MS - 2000);
    expect(listAccepting(REMOVED)).to.deep.equal([]);
    await fleet.runFor(REVOCATION_MS);
    expect(listAccepting(REMOVED)).to.deep.equal([]);
    fleet.publish(buildConfiguration(3, [KEPT]));
    await fleet.runFor(3000);
    expect(listAccepting(KEPT)).to.have.length(fleet.daemons.length - readers.length);
    expect(listAccepting(REMOVED)).to.deep.equal([]);
  });

  it('end within the bound on daemons that cannot use what their reader can', async () => {
    fleet.publish(buildConfiguration(1, [KEPT, REMOVED]));
    await fleet.runFor(3000);
    const usableByReaders = buildConfiguration(2, [KEPT]);
    const { configuration } = usableByReaders;
    const limits = { ...configuration.limits, maxBodyBytes: 'none' } as never;
    fleet.publish({ ...usableByReaders, configuration: { ...configuration, limits } });
    await fleet.runFor(REVOCATION_MS);
    expect(listAccepting(REMOVED)).to.deep.equal([]);
    const outdated = fleet.daemons.filter(({ replica }) => replica.unusableConfiguration);
    expect(outdated).to.have.length.within(1, fleet.daemons.length - 3);
    fleet.daemons
      .filter((daemon) => !outdated.includes(daemon))
      .forEach(({ replica }) => expect(replica.configuration?.version).to.equal(2));
    outdated.forEach(({ keyLease }) => {
      expect(keyLease.validity.mayReject()).to.equal(false);
      expect(keyLease.isCutOff).to.equal(true);
    });
  });

  it('keep their messages, and refuse others of any size', () => {
    const eras: ConfigurationPosition['eras'] = [[1, 3]];
    const configuration = { version: 7, era: 1, revision: 9.5, eras };
    const answer = { nonce: 2 ** 32 - 1, ageMs: 700, renewsInMs: 20, configuration };
    expect(parseLeaseAnswer(formatLeaseAnswer(answer))).to.deep.equal(answer);
    expect(parseLeaseQuestion(formatLeaseQuestion(5))).to.equal(5);
    const row = [1, 700, 20, 7, 1, 9, [[1, 3]]];
    const rows = [
      ...row.map((_, index) => row.map((field, place) => (place === index ? 'x' : field))),
      [...row.slice(0, 6), Array.from({ length: 9 }, () => [1, 1])],
      [1, -1, ...row.slice(2)],
      [1, Number.NaN, ...row.slice(2)],
      [...row, 1],
    ];
    rows.forEach((one) => expect(parseLeaseAnswer(formatBody(one))).to.equal(undefined));
    [['x'], [-1], [0.5], [2 ** 53], [1, 2], 'x'.repeat(500)].forEach((one) =>
      expect(parseLeaseQuestion(formatBody(one))).to.equal(undefined),
    );
  });
});
