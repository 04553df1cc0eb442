import { expect } from 'chai';

import type { DaemonProcess } from '../harness/daemon-process.js';
import { FleetHarness, waitFor } from '../harness/fleet-harness.js';
import { createKey, sendBooking, SMALL } from './small-deployment.js';

describe('a booking that may not be repeated', () => {
  const harness = new FleetHarness({
    deployment: SMALL,
    daemons: 4,
    seed: 3,
    settings: { keyLifeSeconds: 5, entryHoldSeconds: 0.5 },
  });
  const getDaemon = (index: number): DaemonProcess => harness.daemons[index] as DaemonProcess;
  const countRuns = (key: string): number =>
    harness.upstreams.reduce((sum, upstream) => sum + upstream.countRuns(key), 0);

  before(async () => harness.start());
  after(async () => harness.stop());

  it('runs once however often and through whichever daemons it is sent', async () => {
    const key = await createKey(getDaemon(0));
    const headers = { 'x-request-id': 'booking-1' };
    const replies = await Promise.all(
      [0, 1, 2, 3, 0, 1].map((index) => sendBooking(getDaemon(index), key, headers)),
    );
    expect(new Set(replies.map(({ text }) => text)).size).to.equal(1);
    expect(replies[0]?.status).to.equal(200);
    const late = await sendBooking(getDaemon(2), key, headers);
    expect(late.text).to.equal(replies[0]?.text);
    expect(countRuns(key)).to.equal(1);
  });

  it('is refused when its key is used for another booking', async () => {
    const key = await createKey(getDaemon(0));
    await sendBooking(getDaemon(0), key);
    const other = { 'baobabline-kind': 'read' };
    expect(await sendBooking(getDaemon(1), key, other)).to.include({
      code: 108,
      outcome: 'not-run',
    });
  });

  it('does not run with an expired key', async () => {
    const key = await createKey(getDaemon(0));
    const expiresAt = performance.now() + 5100;
    await waitFor(() => performance.now() > expiresAt, 10_000, 'the key has expired');
    expect(await sendBooking(getDaemon(1), key)).to.include({ code: 304, outcome: 'unknown' });
    expect(countRuns(key)).to.equal(0);
  });

  it('is unknown, and never run again, while the daemon that may run it is frozen', async () => {
    const key = await createKey(getDaemon(1));
    expect((await sendBooking(getDaemon(1), key)).status).to.equal(200);
    getDaemon(1).freeze();
    const reply = await sendBooking(getDaemon(2), key, { 'baobabline-deadline-ms': '600' });
    expect(reply).to.include({ outcome: 'unknown' });
    getDaemon(1).thaw();
    await waitFor(
      async () => (await sendBooking(getDaemon(2), key)).status === 200,
      10_000,
      'the thawed daemon repeats the answer',
    );
    expect(countRuns(key)).to.equal(1);
  });

  it('is unknown, and never run again, once the daemon that may run it was killed', async () => {
    const key = await createKey(getDaemon(3));
    expect((await sendBooking(getDaemon(0), key)).status).to.equal(200);
    const killed = getDaemon(3);
    await killed.kill();
    const reply = await sendBooking(getDaemon(0), key);
    expect(reply).to.include({ outcome: 'unknown', code: 303 });
    harness.removeDaemon(killed);
    const restarted = await harness.addDaemon(3);
    await restarted.waitForEvent('serving');
    expect(await sendBooking(restarted, key)).to.include({ outcome: 'unknown', code: 303 });
    expect(countRuns(key)).to.equal(1);
  });
});
