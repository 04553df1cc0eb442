import { expect } from 'chai';

import type { DaemonProcess } from '../harness/daemon-process.js';
import { FleetHarness, waitFor } from '../harness/fleet-harness.js';
import { runInTurn, wait } from '../runner/report.js';
import { sendTo, SMALL } from './small-deployment.js';

describe('requests that crash upstreams', () => {
  const harness = new FleetHarness({ deployment: SMALL, daemons: 3, seed: 6 });
  const getDaemon = (): DaemonProcess => harness.daemons[0] as DaemonProcess;

  before(async () => harness.start());
  after(async () => harness.stop());

  it('are refused from the second crash on, and their upstreams not ejected', async () => {
    const poison = { headers: { 'x-poison': 'yes', 'baobabline-deadline-ms': '1500' } };
    const codes = await runInTurn([1, 2, 3, 4], async () => {
      const reply = await sendTo(getDaemon(), { path: '/visit-desk/poison', ...poison });
      await wait(300);
      return reply.code;
    });
    expect(codes.at(-1)).to.equal(109);
    const crashes = harness.upstreams.reduce((sum, { crashCount }) => sum + crashCount, 0);
    expect(crashes).to.equal(2);
    await waitFor(
      async () => (await sendTo(getDaemon())).status === 200,
      5000,
      'other requests are served',
    );
    const statuses = await Promise.all(harness.daemons.map((daemon) => daemon.readStatus()));
    expect(
      statuses.flatMap(({ services }) => services.flatMap(({ ejected }) => ejected)),
    ).to.have.length(0);
  });
});
