import { RouteTable } from '@baobabline/core';
import type { RoutingConfiguration } from '@baobabline/core';
import { expect } from 'chai';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

import { UNBOUNDED_KEY_VALIDITY } from '../caller-keys/index.js';
import { HeldBytes } from '../held-bytes/index.js';
import { buildAnswerEnd, buildRoutedRequest, PLAIN_DIALECT } from '../requests/request-fixtures.js';
import { CallerServer } from './caller-server.js';
import type { SlowReader } from './caller-server.js';

const ADDRESS = '127.0.0.1';
const POLL_MS = 5;
/** More than the system's buffers take. */
const ANSWER_BYTES = 16 * 1024 * 1024;
const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
const { route } = buildRoutedRequest('q', 0, 'download');
const CONFIGURATION: RoutingConfiguration = {
  version: 1,
  limits: { maxHeaderBytes: 2000, maxBodyBytes: 1000, headerTimeoutMs: 400, idleTimeoutMs: 3000 },
  routes: [route],
};

async function waitUntil(condition: () => boolean): Promise<void> {
  if (condition()) return;
  await wait(POLL_MS);
  await waitUntil(condition);
}

describe('a caller that does not read its answer', () => {
  let now = 0;
  let heldBytes: HeldBytes;
  let server: CallerServer;
  let port = 0;
  let closed: readonly SlowReader[] = [];

  beforeEach(async () => {
    now = 0;
    closed = [];
    heldBytes = new HeldBytes(1.5 * ANSWER_BYTES, { now: () => now });
    heldBytes.setMayEvictUnread(true);
    const routes = new RouteTable(CONFIGURATION);
    server = new CallerServer({
      clock: { now: () => now },
      dialect: PLAIN_DIALECT,
      heldBytes,
      getRoutes: () => routes,
      keyValidity: UNBOUNDED_KEY_VALIDITY,
      chooseService: () => 's',
      serve: (_request, onEnd) => {
        const end = buildAnswerEnd(200);
        if (end.kind !== 'answered') throw new Error('not an answer');
        const body = [Buffer.alloc(ANSWER_BYTES, 'a')];
        const answer = { ...end.answer, body, bodyBytes: ANSWER_BYTES };
        setImmediate(() => onEnd({ kind: 'answered', upstreamId: 'u', answer }));
        return { isAtUpstream: true, cancel: () => undefined, failAsStopping: () => undefined };
      },
      onRefused: () => undefined,
      onCut: () => undefined,
      onSlowReader: (slow) => {
        closed = [...closed, slow];
      },
      onException: () => undefined,
    });
    port = await server.listen(ADDRESS, 0);
  });

  afterEach(async () => server.close());

  /** Sends a request, and reads nothing of its answer. */
  async function ask(): Promise<Socket> {
    const before = heldBytes.total;
    const socket = connect(port, ADDRESS).pause();
    socket.on('error', () => undefined);
    socket.write(REQUEST);
    await waitUntil(() => heldBytes.total > before);
    return socket;
  }

  // Callers that did not read kept the daemon's memory, so that others were refused.
  it('is cut off where memory is short, in a way that it can tell', async () => {
    const socket = await ask();
    expect(heldBytes.acquire(ANSWER_BYTES)).to.equal(false);
    now += 3000;
    expect(heldBytes.acquire(ANSWER_BYTES)).to.equal(true);
    expect(closed.map(({ ageMs }) => ageMs)).to.deep.equal([3000]);
    let received = 0;
    let isClosed = false;
    socket.on('data', (chunk: Buffer) => {
      received += chunk.length;
    });
    socket.once('close', () => {
      isClosed = true;
    });
    socket.resume();
    await waitUntil(() => isClosed);
    expect(received).to.be.lessThan(ANSWER_BYTES);
    heldBytes.release(ANSWER_BYTES);
    expect(heldBytes.total).to.equal(0);
  });

  it('keeps its answer while the memory suffices', async () => {
    const socket = await ask();
    now += 60_000;
    expect(heldBytes.acquire(ANSWER_BYTES / 4)).to.equal(true);
    expect(closed).to.deep.equal([]);
    socket.destroy();
    await waitUntil(() => heldBytes.total === ANSWER_BYTES / 4);
  });
});
