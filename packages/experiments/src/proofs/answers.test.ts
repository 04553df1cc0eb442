import { expect } from 'chai';

import type { DaemonProcess } from '../harness/daemon-process.js';
import { FleetHarness } from '../harness/fleet-harness.js';
import { runInTurn, wait } from '../runner/report.js';
import { sendTo, SMALL } from './small-deployment.js';
import type { Reply } from './small-deployment.js';

const ROUNDS = 12;

describe('answers under faults of upstreams', () => {
  const harness = new FleetHarness({ deployment: SMALL, daemons: 3, seed: 2, proxied: true });
  const getDaemon = (): DaemonProcess => harness.daemons[0] as DaemonProcess;

  before(async () => harness.start());
  after(async () => harness.stop());
  afterEach(() => harness.upstreams.forEach((upstream) => upstream.setFault('none')));

  async function sendRounds(kind: 'read' | 'book', prefix: string): Promise<readonly Reply[]> {
    const ids = Array.from({ length: ROUNDS }, (_, index) => `${prefix}-${index}`);
    return runInTurn(ids, async (id) =>
      sendTo(getDaemon(), {
        kind,
        headers: { 'x-request-id': id, 'baobabline-deadline-ms': '1500' },
      }),
    );
  }

  function checkTruth(replies: readonly Reply[], prefix: string): void {
    replies.forEach((reply, index) => {
      const id = `${prefix}-${index}`;
      const runs = harness.upstreams.reduce((sum, upstream) => sum + upstream.countRuns(id), 0);
      if (reply.code === 0 && reply.status === 200) {
        expect(JSON.parse(reply.text)).to.include({ requestId: id });
      }
      if (reply.outcome === 'not-run') expect(runs, `${id} ran`).to.equal(0);
    });
  }

  (['cut-short', 'wrong-length', 'previous-answer', 'twice'] as const).forEach((fault) => {
    it(`are whole and the caller's own, or truthfully refused: ${fault}`, async () => {
      harness.upstreams.forEach((upstream) => upstream.setFault(fault));
      checkTruth(await sendRounds('read', `read-${fault}`), `read-${fault}`);
      const books = await sendRounds('book', `book-${fault}`);
      checkTruth(books, `book-${fault}`);
      books.forEach((_, index) => {
        const id = `book-${fault}-${index}`;
        const runs = harness.upstreams.reduce((sum, upstream) => sum + upstream.countRuns(id), 0);
        expect(runs, id).to.be.at.most(1);
      });
    });
  });

  it('that come too late reach nobody else', async () => {
    harness.upstreams.forEach((upstream) => upstream.setFault('slow'));
    const headers = { 'baobabline-deadline-ms': '30' };
    const given = await Promise.all(
      Array.from({ length: 8 }, () => sendTo(getDaemon(), { kind: 'book', headers })),
    );
    expect(given.filter(({ code }) => code > 0)).to.not.have.length(0);
    harness.upstreams.forEach((upstream) => upstream.setFault('none'));
    checkTruth(await sendRounds('read', 'after-late'), 'after-late');
  });

  it('are found on a new connection where the old ones have fallen silent', async () => {
    await sendRounds('read', 'warm');
    harness.upstreams.forEach(({ settings }) => harness.findProxy(settings.id).silence());
    await wait(50);
    const replies = await sendRounds('read', 'silent');
    checkTruth(replies, 'silent');
    const again = await sendRounds('read', 'silent-again');
    expect(again.filter(({ status }) => status === 200)).to.have.length(ROUNDS);
  });
});
