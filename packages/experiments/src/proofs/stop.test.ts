import { expect } from 'chai';
import { request as sendHttp } from 'undici';

import type { DaemonProcess } from '../harness/daemon-process.js';
import { FleetHarness } from '../harness/fleet-harness.js';
import { wait } from '../runner/report.js';
import { CUSTOMER, SMALL } from './small-deployment.js';

const ANSWER_BYTES = 7_000_000;
const SLOW_READER_MS = 2500;

describe('a planned stop', () => {
  const harness = new FleetHarness({
    deployment: SMALL,
    daemons: 3,
    seed: 8,
    answerBytes: ANSWER_BYTES,
    settings: { entryHoldSeconds: 0.5 },
  });

  before(async () => harness.start());
  after(async () => harness.stop());

  it('waits for a caller that reads a long answer slowly', async () => {
    const daemon = harness.daemons[0] as DaemonProcess;
    const response = await sendHttp(`http://127.0.0.1:${daemon.ports.callers}/visit-desk/work`, {
      headers: { 'baobabline-customer': CUSTOMER, 'baobabline-kind': 'read' },
      highWaterMark: 1024,
    });
    const stopped = daemon.stop();
    await wait(SLOW_READER_MS);
    const text = await response.body.text();
    expect(text.length).to.be.above(ANSWER_BYTES);
    expect(JSON.parse(text)).to.have.property('upstream');
    await stopped;
    harness.removeDaemon(daemon);
  });
});
