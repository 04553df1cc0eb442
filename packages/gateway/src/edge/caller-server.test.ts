import { expect } from 'chai';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

import { createRefusal, RouteTable } from '@baobabline/core';
import type { RoutingConfiguration } from '@baobabline/core';

import { UNBOUNDED_KEY_VALIDITY } from '../caller-keys/index.js';
import type { HttpDialect } from '../dialect/index.js';
import { HeldBytes } from '../held-bytes/index.js';
import type { RequestEnd, RoutedRequest } from '../requests/index.js';
import { CallerServer } from './caller-server.js';
import type { StopGate } from './caller-server.js';
import type { CutRequest } from './open-request.js';

const ADDRESS = '127.0.0.1';
const SETTLE_MS = 60;

const CONFIGURATION: RoutingConfiguration = {
  version: 1,
  limits: { maxHeaderBytes: 2000, maxBodyBytes: 1000, headerTimeoutMs: 400, idleTimeoutMs: 3000 },
  routes: (['unsafe', 'safe'] as const).map((kind) => ({
    id: kind,
    host: 'h',
    prefix: kind === 'unsafe' ? '/a/' : '/safe/',
    kind,
    parts: [{ service: 's', weight: 1 }],
    timeoutMs: 1000,
    targetLatencyMs: 500,
    maxAttempts: 1,
    priority: 0,
  })),
};

const dialect: HttpDialect = {
  ownHeaders: new Set(['x-id']),
  accountHeaders: new Set(['authorization', 'x-account']),
  keyScheme: 'bearer',
  readCallerHead: (headers) => ({
    requestId: headers['x-id'] as string | undefined,
    timeAllowedMs: 1000,
  }),
  readAnswerHead: () => ({
    requestId: undefined,
    isNotRun: false,
    isSigned: true,
    load: undefined,
    keepAliveMs: undefined,
    rateLimit: undefined,
    isLeaving: false,
  }),
  buildUpstreamHeaders: () => [],
};

/** Lets requests pass whose deadline is not later than `lastEndAt`. */
function createGate(lastEndAt: number): StopGate {
  return { mayTake: (endAt) => endAt <= lastEndAt };
}

/** Polls until a condition holds; the test's own time limit ends it otherwise. */
async function waitUntil(condition: () => boolean): Promise<void> {
  if (condition()) return;
  await wait(5);
  await waitUntil(condition);
}

/** Whether a reply has come with all of the body that its head announces. */
function isWhole(received: string): boolean {
  const [head = '', ...rest] = received.split('\r\n\r\n');
  const length = /^content-length: (\d+)$/im.exec(head)?.[1];
  return length !== undefined && rest.length > 0 && rest.join('\r\n\r\n').length >= Number(length);
}

function buildAnswer(text: string): RequestEnd {
  const body = [Buffer.from(text)];
  return {
    kind: 'answered',
    upstreamId: 'u',
    answer: {
      status: 200,
      statusText: 'OK',
      headers: ['X-Sig', 's', 'Connection', 'X-Hop', 'X-Hop', '1', 'Content-Length', '999'],
      body,
      bodyBytes: text.length,
      head: dialect.readAnswerHead(200, {}),
    },
  };
}

describe("the callers' listener", () => {
  let server: CallerServer;
  let heldBytes: HeldBytes;
  let heldNow = 0;
  let port = 0;
  let served: RoutedRequest[] = [];
  let cancelled = 0;
  let cut: CutRequest[] = [];
  let exceptions: readonly string[] = [];
  let answers = true;
  let isConfigurationNewest = true;
  /** Ends requests by their ids, where the test answers them itself. */
  let ends = new Map<string, (end: RequestEnd) => void>();

  beforeEach(async () => {
    served = [];
    ends = new Map();
    cancelled = 0;
    cut = [];
    exceptions = [];
    answers = true;
    isConfigurationNewest = true;
    heldNow = 0;
    heldBytes = new HeldBytes(10_000, { now: () => heldNow });
    const routes = new RouteTable(CONFIGURATION);
    server = new CallerServer({
      clock: { now: () => performance.now() },
      dialect,
      heldBytes,
      getRoutes: () => routes,
      isConfigurationNewest: () => isConfigurationNewest,
      canServe: () => true,
      drawStartupRetryMs: () => 1000,
      keyValidity: UNBOUNDED_KEY_VALIDITY,
      chooseService: () => 's',
      serve: (request, onEnd) => {
        if (request.target === '/a/throws') throw new Error('it cannot be served');
        served = [...served, request];
        ends.set(request.id, onEnd);
        if (answers) setImmediate(() => onEnd(buildAnswer(request.id)));
        return {
          isAtUpstream: true,
          cancel: () => {
            cancelled += 1;
          },
          failAsStopping: () => onEnd({ kind: 'refused', error: createRefusal('daemonStopped') }),
        };
      },
      onRefused: () => undefined,
      onCut: (one) => {
        cut = [...cut, one];
      },
      onException: (error) => {
        exceptions = [...exceptions, String(error)];
      },
    });
    server.applyLimits(CONFIGURATION.limits);
    port = await server.listen(ADDRESS, 0);
  });

  afterEach(async () => server.close());

  function connectRaw(): { readonly socket: Socket; readonly read: () => string } {
    const socket = connect(port, ADDRESS);
    let received = '';
    socket.on('data', (chunk) => {
      received += String(chunk);
    });
    socket.on('error', () => undefined);
    return { socket, read: () => received };
  }

  /** Sends and waits until the reply is whole, the connection has ended, or nothing is answered. */
  async function sendRaw(text: string): Promise<string> {
    const { socket, read } = connectRaw();
    const servedBefore = served.length;
    const isUnanswered = (): boolean => !answers && served.length > servedBefore;
    socket.write(text);
    await waitUntil(
      () => isWhole(read()) || socket.readableEnded || socket.destroyed || isUnanswered(),
    );
    // What must not be served has had its chance by then.
    await wait(SETTLE_MS);
    socket.destroy();
    return read();
  }

  it('takes bodies with a length and in chunks, byte for byte', async () => {
    await sendRaw('POST /a/x?q=1 HTTP/1.1\r\nHost: h\r\nx-id: 1\r\nContent-Length: 5\r\n\r\nhello');
    await sendRaw(
      'POST /a/y HTTP/1.1\r\nHost: h\r\nx-id: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n',
    );
    const bodies = served.map(({ body }) => Buffer.concat([...body]).toString());
    expect(bodies).to.deep.equal(['hello', 'hello']);
    expect(served[0]?.target).to.equal('/a/x?q=1');
  });

  it('passes on no header that concerns one connection, in either direction', async () => {
    const reply = await sendRaw(
      'GET /a/x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\nX-Own: 1\r\nConnection: keep-alive, X-Mine\r\nX-Mine: 1\r\nTE: x\r\n\r\n',
    );
    expect(served[0]?.headers).to.deep.equal(['Host', 'h', 'X-Own', '1']);
    expect(reply).to.include('X-Sig: s').and.to.include('Content-Length: 1\r\n');
    expect(reply).not.to.include('X-Hop');
  });

  const ambiguous: readonly (readonly [string, string])[] = [
    ['two lengths', 'Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello'],
    ['a length beside chunks', 'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'],
    ['a length that is no number', 'Content-Length: 5x\r\n\r\nhello'],
    ['an unknown coding', 'Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n'],
    ['a chunk without a size', 'Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n'],
    ['two hosts', 'Host: other\r\n\r\n'],
    ['a folded header', 'X-A: 1\r\n 2\r\n\r\n'],
    ['a space before the colon', 'X-A : 1\r\n\r\n'],
    ['a space before the colon of a header that the gateway sets', 'x-id : 2\r\n\r\n'],
    ['a space within a name', 'X A: 1\r\n\r\n'],
    ['a bare line feed between headers', 'X-A: 1\nX-B: 2\r\n\r\n'],
  ];

  ambiguous.forEach(([name, rest]) => {
    it(`refuses ${name}, and serves nothing of it`, async () => {
      const reply = await sendRaw(`POST /a/x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\n${rest}`);
      expect(served).to.have.length(0);
      expect(reply).to.match(/^HTTP\/1\.1 4\d\d /);
    });
  });

  it('denies no route that may be in a configuration which the daemon cannot use', async () => {
    const request = 'GET /b/x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\n\r\n';
    expect(await sendRaw(request)).to.include('HTTP/1.1 404');
    isConfigurationNewest = false;
    const reply = await sendRaw(request);
    expect(reply)
      .to.include('HTTP/1.1 503')
      .and.to.match(/Retry-After: \d/i);
  });

  it('refuses headers that come too slowly with 408', async () => {
    const { socket, read } = connectRaw();
    socket.write('GET /a/x HTTP/1.1\r\nHost: h\r\n');
    await wait(1500);
    expect(read()).to.match(/^HTTP\/1\.1 408 /);
    socket.destroy();
  });

  it('refuses a body that grows over the limit in chunks', async () => {
    const chunk = `1f4\r\n${'x'.repeat(500)}\r\n`;
    const reply = await sendRaw(
      `POST /a/x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\nTransfer-Encoding: chunked\r\n\r\n${chunk.repeat(3)}0\r\n\r\n`,
    );
    expect(reply).to.match(/^HTTP\/1\.1 413 /);
    expect(served).to.have.length(0);
  });

  it('reads a refused body to its end, and then serves the next request of the connection', async () => {
    const { socket, read } = connectRaw();
    socket.write('POST /a/x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\nContent-Length: 300000\r\n\r\n');
    await waitUntil(() => /^HTTP\/1\.1 413 /.test(read()));
    socket.write('x'.repeat(300_000));
    socket.write('GET /a/y HTTP/1.1\r\nHost: h\r\nx-id: 2\r\n\r\n');
    await waitUntil(() => read().includes('HTTP/1.1 200'));
    expect(served.map(({ target }) => target)).to.deep.equal(['/a/y']);
    socket.destroy();
  });

  it('counts bodies that are still coming in, and refuses as not run what finds no room', async () => {
    const head = 'POST /a/x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\nTransfer-Encoding: chunked\r\n\r\n';
    const open = Array.from({ length: 9 }, () => connectRaw());
    open.forEach(({ socket }) => socket.write(`${head}1f4\r\n${'x'.repeat(500)}\r\n`));
    await waitUntil(() => heldBytes.total === 9 * 1024);
    const reply = await sendRaw(`${head}1f4\r\n${'x'.repeat(500)}\r\n`);
    expect(reply).to.match(/^HTTP\/1\.1 503 .*Retry-After: 1\.000/s);
    expect(reply).to.include('not-run');
    open.forEach(({ socket }) => socket.destroy());
    await waitUntil(() => heldBytes.total === 0);
    expect(served).to.have.length(0);
    await sendRaw(`${head}5\r\nhello\r\n0\r\n\r\n`);
    expect(served).to.have.length(1);
    await waitUntil(() => heldBytes.total === 0);
  });

  // Callers that did not read kept the daemon's memory, so that others were refused.
  it('cuts off a caller that does not read where memory is short, in a way that it can tell', async () => {
    heldBytes.setMayEvictUnread(true);
    answers = false;
    const { socket, read } = connectRaw();
    socket.write('GET /a/x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\n\r\n');
    await waitUntil(() => served.length === 1);
    socket.pause();
    ends.get('1')?.(buildAnswer('x'.repeat(16 * 1024 * 1024)));
    expect(heldBytes.acquire(1)).to.equal(false);
    heldNow += 3000;
    expect(heldBytes.acquire(1)).to.equal(true);
    socket.resume();
    await waitUntil(() => socket.destroyed);
    expect(read()).to.include('HTTP/1.1 200');
    expect([isWhole(read()), heldBytes.total]).to.deep.equal([false, 1]);
  });

  it('gives a request up when its caller leaves, and none that was answered', async () => {
    await sendRaw('GET /a/x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\n\r\n');
    expect(cancelled).to.equal(0);
    answers = false;
    await sendRaw('GET /a/x HTTP/1.1\r\nHost: h\r\nx-id: 2\r\n\r\n');
    await wait(SETTLE_MS);
    expect(cancelled).to.equal(1);
  });

  it('keeps a connection for many requests, and ends it with the answer when it leaves', async () => {
    const { socket, read } = connectRaw();
    socket.write('GET /a/x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\n\r\n');
    await wait(SETTLE_MS);
    expect(read()).to.include('Connection: keep-alive').and.to.include('Keep-Alive: timeout=');
    server.startLeaving(createGate(Number.POSITIVE_INFINITY));
    socket.write('GET /a/x HTTP/1.1\r\nHost: h\r\nx-id: 2\r\n\r\n');
    await wait(SETTLE_MS);
    expect(read()).to.include('Connection: close');
    expect(served).to.have.length(2);
    expect(socket.readableEnded).to.equal(true);
  });

  it('takes late requests in a planned stop only if they end before the connections are closed', async () => {
    answers = false;
    const { socket, read } = connectRaw();
    // The route allows a second.
    server.startLeaving(createGate(performance.now() + 1500));
    socket.write('POST /a/early HTTP/1.1\r\nHost: h\r\nx-id: 1\r\nContent-Length: 0\r\n\r\n');
    await waitUntil(() => served.length === 1);
    socket.destroy();
    server.startLeaving(createGate(performance.now() + 900));
    const late = await sendRaw(
      'POST /a/late HTTP/1.1\r\nHost: h\r\nx-id: 2\r\nContent-Length: 0\r\n\r\n',
    );
    expect(served.map(({ id }) => id)).to.deep.equal(['1']);
    expect(late).to.match(/^HTTP\/1\.1 503 /);
    expect(late)
      .to.match(/Retry-After: 0\.\d+/)
      .and.to.include('Connection: close');
    expect(read()).to.equal('');
  });

  it('ends what has no answer with a failure when the time of a planned stop is up', async () => {
    answers = false;
    const callers = [connectRaw(), connectRaw()];
    callers[0]?.socket.write('GET /a/x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\n\r\n');
    callers[1]?.socket.write(
      'POST /a/x HTTP/1.1\r\nHost: h\r\nx-id: 2\r\nContent-Length: 9\r\n\r\nhalf',
    );
    await waitUntil(() => server.openRequests === 2 && served.length === 1);
    server.startLeaving(createGate(Number.POSITIVE_INFINITY));
    server.failRequests();
    await waitUntil(() => callers.every(({ socket }) => socket.readableEnded));
    expect(callers[0]?.read()).to.match(/^HTTP\/1\.1 504 /);
    expect(callers[1]?.read()).to.match(/^HTTP\/1\.1 503 /);
    expect(callers[1]?.read()).to.include('Retry-After: 0.050');
    expect(server.openRequests).to.equal(0);
  });

  it('names each request that it cuts, and the phase that the request was in', async () => {
    answers = false;
    const callers = [connectRaw(), connectRaw()];
    callers[0]?.socket.write('GET /a/x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\n\r\n');
    callers[1]?.socket.write(
      'POST /a/x HTTP/1.1\r\nHost: h\r\nx-id: 2\r\nContent-Length: 9\r\n\r\nhalf',
    );
    await waitUntil(() => server.openRequests === 2 && served.length === 1);
    expect(server.describeOpen()).to.deep.equal({
      connections: 2,
      reading: 1,
      waiting: 0,
      'at-upstream': 1,
      answering: 0,
    });
    await server.close();
    expect(cut.map(({ id, phase }) => [id, phase])).to.deep.equal([
      ['1', 'at-upstream'],
      ['2', 'reading'],
    ]);
  });

  it('says nothing of a request whose serving throws, and serves the next one', async () => {
    const { socket, read } = connectRaw();
    socket.write('GET /a/throws HTTP/1.1\r\nHost: h\r\nx-id: t\r\n\r\n');
    await waitUntil(() => read().includes('\r\n\r\n'));
    expect(read()).to.match(/^HTTP\/1.1 500 /);
    expect(exceptions).to.deep.equal(['Error: it cannot be served']);
    socket.write('GET /a/x HTTP/1.1\r\nHost: h\r\nx-id: n\r\n\r\n');
    await waitUntil(() => served.length === 1 && server.openRequests === 0);
    expect(read()).to.match(/HTTP\/1.1 200 OK/);
    socket.destroy();
  });

  it('closes the connection of an answer that cannot be written, and serves others', async () => {
    answers = false;
    const { socket, read } = connectRaw();
    socket.write('GET /a/x HTTP/1.1\r\nHost: h\r\nx-id: o\r\n\r\n');
    await waitUntil(() => ends.has('o'));
    const odd = buildAnswer('odd');
    if (odd.kind === 'answered')
      ends.get('o')?.({ ...odd, answer: { ...odd.answer, statusText: '\u0001' } });
    await waitUntil(() => server.openRequests === 0);
    expect(exceptions).to.have.length(1);
    expect(read()).to.equal('');
    answers = true;
    const other = connectRaw();
    other.socket.write('GET /a/x HTTP/1.1\r\nHost: h\r\nx-id: p\r\n\r\n');
    await waitUntil(() => other.read().includes('200 OK'));
    other.socket.destroy();
    socket.destroy();
  });

  describe('with requests sent before the first is answered', () => {
    function buildRead(id: string): string {
      return `GET /safe/${id} HTTP/1.1\r\nHost: h\r\nx-id: ${id}\r\n\r\n`;
    }

    function buildBooking(id: string): string {
      return `POST /a/${id} HTTP/1.1\r\nHost: h\r\nx-id: ${id}\r\nContent-Length: 0\r\n\r\n`;
    }

    function listBodies(received: string): readonly string[] {
      return [...received.matchAll(/\r\n\r\n([a-z0-9]+)(?=HTTP|$)/g)].map(([, body]) => body ?? '');
    }

    function listServed(): readonly string[] {
      return served.map(({ id }) => id);
    }

    function finishRequest(id: string): void {
      ends.get(id)?.(buildAnswer(id));
    }

    beforeEach(() => {
      answers = false;
    });

    it('answers in the order in which they were sent, however late the first is', async () => {
      const { socket, read } = connectRaw();
      socket.write(buildRead('r1') + buildRead('r2') + buildRead('r3'));
      await waitUntil(() => served.length === 3);
      ['r3', 'r2'].forEach(finishRequest);
      await wait(SETTLE_MS);
      expect(read()).to.equal('');
      finishRequest('r1');
      await waitUntil(() => listBodies(read()).length === 3);
      expect(listBodies(read())).to.deep.equal(['r1', 'r2', 'r3']);
      socket.destroy();
    });

    it('passes on what may run once only when nothing is before it', async () => {
      const { socket } = connectRaw();
      socket.write(buildRead('r1') + buildBooking('b1') + buildRead('r2'));
      await wait(SETTLE_MS);
      expect(listServed()).to.deep.equal(['r1']);
      finishRequest('r1');
      await waitUntil(() => served.length === 2);
      expect(listServed()).to.deep.equal(['r1', 'b1']);
      socket.destroy();
    });

    it('passes nothing on behind the answer that ends the connection in a planned stop', async () => {
      const { socket, read } = connectRaw();
      socket.write(buildRead('r1') + buildRead('r2') + buildBooking('b1'));
      await waitUntil(() => served.length === 2);
      server.startLeaving(createGate(Number.POSITIVE_INFINITY));
      socket.write(buildRead('r3'));
      await wait(SETTLE_MS);
      ['r1', 'r2'].forEach(finishRequest);
      await waitUntil(() => socket.readableEnded);
      expect(listBodies(read())).to.deep.equal(['r1', 'r2']);
      expect(read().match(/Connection: close/g)).to.have.length(1);
      expect(listServed()).to.deep.equal(['r1', 'r2']);
      expect(server.openRequests).to.equal(0);
    });

    it('answers what came before bytes that are no request, and sends nothing else', async () => {
      const { socket, read } = connectRaw();
      socket.write(`${buildRead('r1')}NO REQUEST AT ALL\r\n\r\n`);
      await waitUntil(() => served.length === 1);
      await wait(SETTLE_MS);
      expect(read()).to.equal('');
      finishRequest('r1');
      await waitUntil(() => socket.readableEnded);
      expect(listBodies(read())).to.deep.equal(['r1']);
      expect(read()).not.to.include('400');
    });

    it('gives all of them up when the caller leaves', async () => {
      await sendRaw(buildRead('r1') + buildRead('r2') + buildBooking('b1'));
      await waitUntil(() => cancelled === 2);
      expect(listServed()).to.deep.equal(['r1', 'r2']);
      expect(server.openRequests).to.equal(0);
    });

    const WITHOUT_HOST = 'GET /safe/odd HTTP/1.1\r\nx-id: odd\r\n\r\n';

    it('passes on nothing that the refusal of a request without a host cuts', async () => {
      const { socket, read } = connectRaw();
      socket.write(buildRead('r1') + WITHOUT_HOST + buildRead('r2') + buildBooking('b1'));
      await waitUntil(() => listServed().includes('r1'));
      await wait(SETTLE_MS);
      finishRequest('r1');
      await ['r2', 'b1'].reduce(async (before, id) => {
        await before;
        await waitUntil(() => listServed().includes(id) || socket.readableEnded);
        finishRequest(id);
      }, Promise.resolve());
      await waitUntil(() => listBodies(read()).includes('b1') || socket.readableEnded);
      expect(read()).to.include('HTTP/1.1 400');
      const lost = listServed().filter((id) => !listBodies(read()).includes(id));
      expect(lost).to.deep.equal([]);
      expect(cancelled).to.equal(0);
      socket.destroy();
    });

    it('holds no bytes of a request whose connection ended before its body had come', async () => {
      server.startLeaving(createGate(Number.POSITIVE_INFINITY));
      // Together they are more than the listener may hold.
      const ids = Array.from({ length: 12 }, (_, index) => `b${index}`);
      await ids.reduce(async (before, id) => {
        await before;
        const socket = connect({ port, host: ADDRESS, allowHalfOpen: true }).resume();
        const head = 'POST /a/x HTTP/1.1\r\nHost: h\r\nx-id: behind\r\nContent-Length: 900\r\n\r\n';
        socket.write(`${buildBooking(id)}${head}${'x'.repeat(400)}`);
        await waitUntil(() => listServed().includes(id) && server.openRequests === 2);
        finishRequest(id);
        await waitUntil(() => socket.readableEnded);
        socket.write('x'.repeat(500));
        await wait(SETTLE_MS);
        socket.destroy();
        await waitUntil(() => server.openConnections === 0);
      }, Promise.resolve());
      answers = true;
      const reply = await sendRaw(
        `POST /a/next HTTP/1.1\r\nHost: h\r\nx-id: next\r\nContent-Length: 900\r\n\r\n${'x'.repeat(900)}`,
      );
      expect(reply).to.match(/^HTTP\/1\.1 200 /);
      expect(listServed()).not.to.include('behind');
    });

    it('keeps answers and requests together, however they are cut into pieces', async () => {
      answers = true;
      const names = ['r1', 'b1', 'r2', 'r3', 'b2', 'r4'];
      const text = names
        .map((name) => (name.startsWith('r') ? buildRead(name) : buildBooking(name)))
        .join('');
      const sizes = [1, 7, 33, 64, 200];
      await sizes.reduce(async (before, size) => {
        await before;
        served = [];
        const { socket, read } = connectRaw();
        const pieces = text.match(new RegExp(`[\\s\\S]{1,${size}}`, 'g')) ?? [];
        await pieces.reduce(async (previous, piece) => {
          await previous;
          socket.write(piece);
          await new Promise((resolve) => {
            setImmediate(resolve);
          });
        }, Promise.resolve());
        await waitUntil(() => listBodies(read()).length === names.length);
        expect(listBodies(read())).to.deep.equal(names);
        expect(listServed()).to.deep.equal(names);
        socket.destroy();
      }, Promise.resolve());
    });
  });
});
