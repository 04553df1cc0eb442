/**
 * How the callers' listener ends connections while the daemon leaves: an answer that was written must
 * reach a caller that still sends, or that reads slowly. A socket that is closed while bytes of its
 * peer are unread, or come later, is reset, and a reset discards what the peer has not received yet.
 */
import { RouteTable } from '@baobabline/core';
import type { RoutingConfiguration } from '@baobabline/core';
import { expect } from 'chai';
import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

import { UNBOUNDED_KEY_VALIDITY } from '../caller-keys/index.js';
import type { HttpDialect } from '../dialect/index.js';
import { HeldBytes } from '../held-bytes/index.js';
import type { RequestEnd, RoutedRequest } from '../requests/index.js';
import { CallerServer } from './caller-server.js';

const ADDRESS = '127.0.0.1';
const POLL_MS = 5;
/** More than the system's buffers take. */
const LARGE_BYTES = 16 * 1024 * 1024;
/** Less than the daemon's send buffer takes, more than the caller's receive buffer does. */
const BUFFERED_BYTES = 1024 * 1024;
/** A slow caller takes a piece of what has come this often. */
const PIECE_MS = 2;
const MAX_PIPELINED = 100;

const CONFIGURATION: RoutingConfiguration = {
  version: 1,
  limits: { maxHeaderBytes: 2000, maxBodyBytes: 1000, headerTimeoutMs: 400, idleTimeoutMs: 3000 },
  routes: [
    {
      id: 'safe',
      host: 'h',
      prefix: '/safe/',
      kind: 'safe',
      parts: [{ service: 's', weight: 1 }],
      timeoutMs: 20_000,
      targetLatencyMs: 500,
      maxAttempts: 1,
      priority: 0,
    },
  ],
};

const dialect: HttpDialect = {
  ownHeaders: new Set(['x-id']),
  accountHeaders: new Set(['authorization', 'x-account']),
  keyScheme: 'bearer',
  readCallerHead: (headers) => ({
    requestId: headers['x-id'] as string | undefined,
    timeAllowedMs: 20_000,
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

/** Polls until a condition holds; the test's own time limit ends it otherwise. */
async function waitUntil(condition: () => boolean): Promise<void> {
  if (condition()) return;
  await wait(POLL_MS);
  await waitUntil(condition);
}

function buildRead(id: string): string {
  return `GET /safe/${id} HTTP/1.1\r\nHost: h\r\nx-id: ${id}\r\n\r\n`;
}

function buildAnswer(bytes: number): RequestEnd {
  return {
    kind: 'answered',
    upstreamId: 'u',
    answer: {
      status: 200,
      statusText: 'OK',
      headers: [],
      body: [Buffer.alloc(bytes, 'a')],
      bodyBytes: bytes,
      head: dialect.readAnswerHead(200, {}),
    },
  };
}

const HEAD_END = '\r\n\r\n';

/** What a caller has received, and whether its connection was reset. */
class Received {
  #head = '';

  #bodyBytes = 0;

  isReset = false;

  get head(): string {
    return this.#head;
  }

  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  add(chunk: Buffer): void {
    if (this.#head.includes(HEAD_END)) {
      this.#bodyBytes += chunk.length;
      return;
    }
    const text = this.#head + chunk.toString('latin1');
    const end = text.indexOf(HEAD_END);
    this.#head = end < 0 ? text : text.slice(0, end + HEAD_END.length);
    this.#bodyBytes = text.length - this.#head.length;
  }
}

describe('the close of a connection by a daemon that leaves', () => {
  let server: CallerServer;
  let port = 0;
  let served: readonly RoutedRequest[] = [];
  let answerBytes = 0;
  let refusals = 0;

  beforeEach(async () => {
    served = [];
    refusals = 0;
    const routes = new RouteTable(CONFIGURATION);
    server = new CallerServer({
      clock: { now: () => performance.now() },
      dialect,
      heldBytes: new HeldBytes(10_000),
      getRoutes: () => routes,
      isConfigurationNewest: () => true,
      canServe: () => true,
      drawStartupRetryMs: () => 1000,
      keyValidity: UNBOUNDED_KEY_VALIDITY,
      chooseService: () => 's',
      serve: (request, onEnd) => {
        served = [...served, request];
        setImmediate(() => onEnd(buildAnswer(answerBytes)));
        return {
          isAtUpstream: true,
          cancel: () => undefined,
          failAsStopping: () => undefined,
        };
      },
      onRefused: () => {
        refusals += 1;
      },
      onCut: () => undefined,
      onException: () => undefined,
    });
    server.applyLimits(CONFIGURATION.limits);
    port = await server.listen(ADDRESS, 0);
    server.startLeaving({ mayTake: () => true });
  });

  afterEach(async () => server.close());

  /** A caller that reads nothing until it is told to. */
  function connectPaused(): { readonly socket: Socket; readonly received: Received } {
    const socket = connect(port, ADDRESS);
    const received = new Received();
    socket.pause();
    socket.once('error', () => {
      received.isReset = true;
    });
    return { socket, received };
  }

  /** Reads what comes, a piece at a time, until the connection ends. */
  async function readSlowly(
    { socket, received }: ReturnType<typeof connectPaused>,
    onPiece: () => void = () => undefined,
  ): Promise<void> {
    if (socket.closed) return;
    const closed = new Promise<void>((resolve) => {
      socket.once('close', () => resolve());
    });
    socket.on('data', (chunk: Buffer) => {
      received.add(chunk);
      socket.pause();
      onPiece();
      setTimeout(() => socket.resume(), PIECE_MS);
    });
    socket.resume();
    await closed;
  }

  it('delivers an answer of megabytes whole to a caller that reads slowly', async () => {
    server.startLeaving({ mayTake: () => true });
    answerBytes = LARGE_BYTES;
    const caller = connectPaused();
    caller.socket.write(buildRead('1'));
    await readSlowly(caller);
    expect(caller.received.bodyBytes).to.equal(LARGE_BYTES);
    expect(caller.received.isReset).to.equal(false);
  });

  it('delivers its last answer whole to a caller that sends its next requests meanwhile', async () => {
    server.startLeaving({ mayTake: () => true });
    answerBytes = LARGE_BYTES;
    const caller = connectPaused();
    caller.socket.write(buildRead('1'));
    let count = 1;
    await readSlowly(caller, () => {
      count += 1;
      if (caller.socket.writable && count <= MAX_PIPELINED) {
        caller.socket.write(buildRead(String(count)));
      }
    });
    expect(caller.received.bodyBytes).to.equal(LARGE_BYTES);
    expect(served.map(({ id }) => id)).to.deep.equal(['1']);
  });

  it('delivers its last answer whole to a caller that sends on once it is written', async () => {
    server.startLeaving({ mayTake: () => true });
    answerBytes = BUFFERED_BYTES;
    const caller = connectPaused();
    caller.socket.write(buildRead('1'));
    await waitUntil(() => served.length === 1 && server.openRequests === 0);
    caller.socket.write(buildRead('2'));
    await readSlowly(caller);
    expect(caller.received.bodyBytes).to.equal(BUFFERED_BYTES);
    expect(served.map(({ id }) => id)).to.deep.equal(['1']);
  });

  it('delivers an answer whole that its caller still takes when all connections are closed', async () => {
    answerBytes = BUFFERED_BYTES;
    const caller = connectPaused();
    caller.socket.write(buildRead('1'));
    await waitUntil(() => served.length === 1 && server.openRequests === 0);
    server.startLeaving({ mayTake: () => true });
    server.startClosing();
    caller.socket.write(buildRead('2'));
    await readSlowly(caller);
    expect(caller.received.bodyBytes).to.equal(BUFFERED_BYTES);
    expect(served.map(({ id }) => id)).to.deep.equal(['1']);
  });

  it('takes nothing for a request that comes behind its last answer', async () => {
    server.startLeaving({ mayTake: () => true });
    let requests = 0;
    const countRequest = (): void => {
      requests += 1;
    };
    subscribe('http.server.request.start', countRequest);
    try {
      const socket = connect({ port, host: ADDRESS, allowHalfOpen: true }).resume();
      socket.write(buildRead('1'));
      await waitUntil(() => socket.readableEnded);
      expect(requests).to.equal(1);
      socket.end(buildRead('2').repeat(1000));
      await waitUntil(() => server.openConnections === 0);
      expect(requests).to.equal(1);
    } finally {
      unsubscribe('http.server.request.start', countRequest);
    }
  });

  it('delivers a refusal to a caller that is still sending its body', async () => {
    server.startLeaving({ mayTake: () => true });
    const caller = connectPaused();
    const { socket, received } = caller;
    socket.write('POST /safe/x HTTP/1.1\r\nHost: h\r\nx-id: 1\r\nContent-Length: 300000\r\n\r\n');
    await waitUntil(() => refusals > 0 && server.openRequests === 0);
    // The caller sends all of its body, and reads only then.
    await new Promise<void>((resolve) => {
      socket.write('x'.repeat(150_000), () => resolve());
    });
    await new Promise<void>((resolve) => {
      socket.write('x'.repeat(150_000), () => resolve());
    });
    await readSlowly(caller);
    expect(received.head).to.match(/^HTTP\/1\.1 413 /);
  });
});
