import { expect } from 'chai';
import { connect } from 'node:net';
import { request as sendHttp } from 'undici';

import type { DaemonProcess } from '../harness/daemon-process.js';
import { FleetHarness, waitFor } from '../harness/fleet-harness.js';
import { CUSTOMER, sendTo, SMALL } from './small-deployment.js';

async function sendRaw(port: number, text: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, '127.0.0.1', () => socket.write(text));
    let received = '';
    socket.on('data', (data) => {
      received += data.toString();
    });
    socket.on('close', () => resolve(received));
    socket.on('error', reject);
  });
}

describe('the path of a request through real processes', () => {
  const harness = new FleetHarness({ deployment: SMALL, daemons: 3, seed: 1 });
  const getDaemon = (): DaemonProcess => harness.daemons[0] as DaemonProcess;

  before(async () => harness.start());
  after(async () => harness.stop());

  it('brings back the whole own answer, trace headers carried through', async () => {
    const body = Buffer.alloc(3 * 1024 * 1024, 'x');
    const reply = await sendTo(getDaemon(), {
      kind: 'book',
      body,
      headers: { 'x-request-id': 'r-1', traceparent: '00-aa-bb-01' },
    });
    expect(reply.status).to.equal(200);
    expect(reply.headers['x-request-id']).to.equal('r-1');
    expect(JSON.parse(reply.text)).to.include({ requestId: 'r-1', receivedBytes: body.length });
  });

  it('serves through every daemon, whichever owns the slots', async () => {
    const replies = await Promise.all(harness.daemons.map((daemon) => sendTo(daemon)));
    expect(replies.map(({ status }) => status)).to.deep.equal([200, 200, 200]);
  });

  const refusals: readonly (readonly [string, Parameters<typeof sendTo>[1], number, number])[] = [
    ['an unknown service', { path: '/nothing/x' }, 404, 101],
    ['an unknown customer', { headers: { 'baobabline-customer': 'nobody' } }, 403, 102],
    ['a kind outside the plan', { headers: { 'baobabline-kind': 'paint' } }, 403, 103],
    [
      'a body over the limit of the plan',
      { kind: 'book', body: Buffer.alloc(5 * 1024 * 1024) },
      413,
      104,
    ],
    [
      'a body over the limit of the daemon',
      { kind: 'book', body: Buffer.alloc(17 * 1024 * 1024) },
      413,
      104,
    ],
    ['a deadline already past', { headers: { 'baobabline-deadline-ms': '0' } }, 408, 105],
    ['a bad header', { headers: { 'baobabline-repeatable': 'x' } }, 400, 106],
    ["a caller's own key", { kind: 'book', headers: { 'idempotency-key': 'mine' } }, 400, 107],
  ];
  refusals.forEach(([what, options, status, code]) => {
    it(`refuses ${what} with its number, and not-run`, async () => {
      const reply = await sendTo(getDaemon(), options);
      expect(reply).to.include({ status, code, outcome: 'not-run' });
      expect(reply.headers['content-type']).to.equal('application/problem+json');
    });
  });

  it('reads a refused body to its end, and then serves the next request of the connection', async () => {
    const socket = connect(getDaemon().ports.callers, '127.0.0.1');
    let received = '';
    const faults: string[] = [];
    socket.on('data', (data) => {
      received += data.toString();
    });
    socket.on('error', (error) => faults.push(error.message));
    const size = 17 * 1024 * 1024;
    const head = `Host: d\r\nbaobabline-customer: ${CUSTOMER}\r\nbaobabline-kind: book\r\n`;
    socket.write(`POST /visit-desk/x HTTP/1.1\r\n${head}Content-Length: ${size}\r\n\r\n`);
    await waitFor(() => received.includes('HTTP/1.1 413'), 10_000, 'it is refused');
    socket.write(Buffer.alloc(size));
    socket.write(`GET /entries?customer=${CUSTOMER} HTTP/1.1\r\nHost: d\r\n\r\n`);
    await waitFor(() => received.includes('HTTP/1.1 200'), 10_000, 'it is served');
    socket.destroy();
    expect(faults).to.deep.equal([]);
  });

  it('answers bytes that are no HTTP with a numbered refusal and stays up', async () => {
    const received = await sendRaw(getDaemon().ports.callers, 'BANANA\r\n\r\n');
    expect(received).to.include('400').and.include('"code":100');
    expect((await sendTo(getDaemon())).status).to.equal(200);
  });

  it('holds a customer to its rate across daemons, with a time to retry', async () => {
    const headers = { 'baobabline-customer': 'small-1' };
    const replies = await Promise.all(
      [...harness.daemons, ...harness.daemons].map((daemon) => sendTo(daemon, { headers })),
    );
    const refused = replies.filter(({ code }) => code === 200);
    expect(replies.filter(({ code }) => code === 0)).to.have.length(2);
    expect(refused).to.have.length(4);
    expect(refused[0]).to.include({ status: 429, outcome: 'not-run' });
    expect(Number(refused[0]?.headers['retry-after'])).to.be.at.least(1);
  });

  it('carries a cancellation through to the upstream', async () => {
    harness.upstreams.forEach((upstream) => upstream.setFault('stall'));
    const controller = new AbortController();
    const sent = sendTo(getDaemon(), { kind: 'book', signal: controller.signal }).catch(
      () => 'gone',
    );
    const sumActive = (): number =>
      harness.upstreams.reduce((sum, { activeCount }) => sum + activeCount, 0);
    const sumCancelled = (): number =>
      harness.upstreams.reduce((sum, { cancelledCount }) => sum + cancelledCount, 0);
    const before = sumCancelled();
    await waitFor(() => sumActive() > 0, 5000, 'an upstream has the request');
    controller.abort();
    expect(await sent).to.equal('gone');
    await waitFor(() => sumCancelled() > before, 5000, 'the upstream saw the cancellation');
    harness.upstreams.forEach((upstream) => upstream.setFault('none'));
  });

  it('tells operators what it sees and why a request went where it went', async () => {
    await sendTo(getDaemon(), { headers: { 'x-request-id': 'why-1' } });
    const explained = await Promise.all(
      harness.daemons.map(async ({ operatorUrl }) =>
        (await sendHttp(`${operatorUrl}/explain/why-1`)).body.json(),
      ),
    );
    const steps = explained.flatMap(
      (answer) => (answer as { readonly steps: readonly { readonly step: string }[] }).steps,
    );
    expect(steps.map(({ step }) => step)).to.include('dispatched');
    const metrics = await (await sendHttp(`${getDaemon().operatorUrl}/metrics`)).body.text();
    expect(metrics).to.include('baobabline_requests_total{service="visit-desk",code="0"}');
    const health = await sendHttp(`${getDaemon().operatorUrl}/health`);
    expect(health.statusCode).to.equal(200);
  });

  it('names entries that hold for a while', async () => {
    const url = `http://127.0.0.1:${getDaemon().ports.callers}/entries?customer=${CUSTOMER}&service=visit-desk`;
    const answer = (await (await sendHttp(url)).body.json()) as {
      readonly entries: readonly { readonly id: string }[];
      readonly holdSeconds: number;
    };
    expect(answer.entries.map(({ id }) => id)).to.have.members(['entry-0', 'entry-1', 'entry-2']);
    expect(answer.holdSeconds).to.be.above(0);
  });
});
