import { expect } from 'chai';

import type { DaemonProcess } from '../harness/daemon-process.js';
import { FleetHarness, waitFor } from '../harness/fleet-harness.js';
import { PartitionMesh } from '../harness/partition-mesh.js';
import { createKey, sendBooking, sendTo, SMALL } from './small-deployment.js';

const DAEMONS = 4;

describe('a fleet whose links fail', () => {
  let mesh: PartitionMesh;
  let harness: FleetHarness;
  const getDaemon = (index: number): DaemonProcess => harness.daemons[index] as DaemonProcess;

  async function checkWhole(): Promise<boolean> {
    const statuses = await Promise.all(harness.daemons.map((daemon) => daemon.readStatus()));
    return statuses.every(
      ({ members, brokenLinks }) =>
        brokenLinks.length === 0 && members.every(({ state }) => state === 'serving'),
    );
  }

  before(async () => {
    mesh = await PartitionMesh.create(DAEMONS);
    harness = new FleetHarness({ deployment: SMALL, daemons: DAEMONS, seed: 7, mesh });
    await harness.start();
  });
  after(async () => harness.stop());
  afterEach(async () => {
    mesh.reset();
    await waitFor(async () => checkWhole(), 20_000, 'the fleet is whole again');
  });

  async function countServing(index: number): Promise<number> {
    const { members } = await getDaemon(index).readStatus();
    return members.filter(({ state }) => state === 'serving').length;
  }

  it('takes a link that fails in one direction for what it is', async () => {
    mesh.dropOneWay(0, 1);
    await waitFor(
      async () => (await getDaemon(0).readStatus()).brokenLinks.includes('entry-1'),
      10_000,
      'the daemon knows that its link is broken',
    );
    expect(await countServing(2)).to.equal(DAEMONS);
    expect(await countServing(0)).to.equal(DAEMONS);
    expect((await sendTo(getDaemon(0))).status).to.equal(200);
  });

  it('serves on both sides of a partition, and runs a booking once', async () => {
    const key = await createKey(getDaemon(0));
    const first = await sendBooking(getDaemon(0), key);
    expect(first.status).to.equal(200);
    mesh.split(2);
    await waitFor(
      async () => (await countServing(0)) === 2 && (await countServing(3)) === 2,
      15_000,
      'both sides see the partition',
    );
    expect((await sendTo(getDaemon(0))).status).to.equal(200);
    expect((await sendTo(getDaemon(3))).status).to.equal(200);
    const deadline = { 'baobabline-deadline-ms': '800' };
    const across = await sendBooking(getDaemon(3), key, deadline);
    expect(across).to.include({ outcome: 'unknown' });
    mesh.reset();
    await waitFor(
      async () => (await sendBooking(getDaemon(3), key)).status === 200,
      20_000,
      'the answer is repeated across the healed link',
    );
    const runs = harness.upstreams.reduce((sum, upstream) => sum + upstream.countRuns(key), 0);
    expect(runs).to.equal(1);
  });

  it('brings the newest publication to both sides once it heals', async () => {
    mesh.split(2);
    await waitFor(async () => (await countServing(3)) === 2, 15_000, 'the partition is seen');
    harness.configuration.setMode('down');
    const held = (await getDaemon(3).readStatus()).documents;
    harness.configuration.setMode('up');
    mesh.reset();
    const version = harness.publishLists();
    await waitFor(
      async () => {
        const statuses = await Promise.all(harness.daemons.map((daemon) => daemon.readStatus()));
        return statuses.every(({ documents }) =>
          documents.some((document) => document.id === 'lists' && document.version === version),
        );
      },
      20_000,
      'all hold the newest version',
    );
    expect(held.find(({ id }) => id === 'lists')?.version).to.be.below(version);
  });
});
