import { expect } from 'chai';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import type { AnswerHead, HeaderMap, HttpDialect } from '../dialect/index.js';
import { HeldBytes } from '../held-bytes/index.js';
import type { ExchangeEnd } from './types.js';
import { UpstreamConnection } from './upstream-connection.js';

const dialect: HttpDialect = {
  ownHeaders: new Set(),
  accountHeaders: new Set(),
  keyScheme: 'bearer',
  readCallerHead: () => ({ requestId: undefined, timeAllowedMs: undefined }),
  readAnswerHead: (_status: number, headers: HeaderMap): AnswerHead => ({
    requestId: headers['x-id'] as string | undefined,
    isNotRun: false,
    isSigned: true,
    load: undefined,
    keepAliveMs: undefined,
    rateLimit: undefined,
    isLeaving: headers['x-leaving'] === '1',
  }),
  buildUpstreamHeaders: () => [],
};

type ServerScript = (socket: Socket, received: string) => void;

/** Blocks the process, so that everything a peer sends meanwhile is read at once. */
function runBusyLoop(ms: number): void {
  const until = performance.now() + ms;
  const spin = (): void => {
    if (performance.now() < until) spin();
  };
  try {
    spin();
  } catch {
    runBusyLoop(until - performance.now());
  }
}

describe('a connection to an upstream', () => {
  let server: Server;
  let script: ServerScript;
  let idleCount = 0;
  let closedCount = 0;
  let leavingCount = 0;
  let heldBytes: HeldBytes;

  beforeEach(async () => {
    leavingCount = 0;
    heldBytes = new HeldBytes(64 * 1024 * 1024);
    idleCount = 0;
    closedCount = 0;
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => script(socket, String(chunk)));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(() => {
    server.close();
  });

  function connect(port = (server.address() as AddressInfo).port): UpstreamConnection {
    return new UpstreamConnection({
      address: '127.0.0.1',
      port,
      connectTimeoutMs: 1000,
      maxAnswerBytes: 1024 * 1024,
      dialect,
      upstreamId: 'u',
      heldBytes,
      now: () => performance.now(),
      onIdle: () => {
        idleCount += 1;
      },
      onClosed: () => {
        closedCount += 1;
      },
      onLeaving: () => {
        leavingCount += 1;
      },
    });
  }

  async function sendRequest(
    connection: UpstreamConnection,
    requestId: string,
  ): Promise<ExchangeEnd> {
    return new Promise((resolve) => {
      const head = `GET /a HTTP/1.1\r\nHost: h\r\nx-id: ${requestId}\r\n\r\n`;
      connection.send({ requestId, method: 'GET', head, body: [] }, resolve);
    });
  }

  function formatAnswer(id: string, body: string): string {
    return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
  }

  async function waitForEvents(): Promise<void> {
    await new Promise((resolve) => {
      setTimeout(resolve, 30);
    });
  }

  it('accepts a complete answer and can be reused', async () => {
    script = (socket, received) =>
      socket.write(formatAnswer(/x-id: (\S+)/.exec(received)?.[1] ?? '', 'ok'));
    const connection = connect();
    expect((await sendRequest(connection, 'r1')).kind).to.equal('answered');
    await waitForEvents();
    expect(idleCount).to.equal(1);
    expect((await sendRequest(connection, 'r2')).kind).to.equal('answered');
    connection.close();
  });

  it('reads that the upstream leaves from every head, whatever becomes of the rest', async () => {
    const leaving = 'x-leaving: 1\r\n';
    const own = formatAnswer('r1', 'ok');
    const scripts: Readonly<Record<string, string>> = {
      success: `HTTP/1.1 200 OK\r\nx-id: r1\r\n${leaving}Content-Length: 0\r\n\r\n`,
      failure: `HTTP/1.1 500 Failed\r\nx-id: r1\r\n${leaving}Content-Length: 0\r\n\r\n`,
      refusal: `HTTP/1.1 503 Busy\r\n${leaving}Content-Length: 0\r\n\r\n`,
      interim: `HTTP/1.1 103 Early\r\n${leaving}\r\n${own}`,
      'an earlier request': `HTTP/1.1 200 OK\r\nx-id: r0\r\n${leaving}Content-Length: 0\r\n\r\n${own}`,
      'a body that is cut': `HTTP/1.1 200 OK\r\nx-id: r1\r\n${leaving}Content-Length: 9\r\n\r\nhalf`,
      'no statement': own,
    };
    const counts = await Object.entries(scripts).reduce<
      Promise<readonly (readonly [string, number])[]>
    >(async (before, [name, bytes]) => {
      const earlier = await before;
      leavingCount = 0;
      script = (socket) => socket.end(bytes);
      const connection = connect();
      await sendRequest(connection, 'r1');
      connection.close();
      return [...earlier, [name, leavingCount] as const];
    }, Promise.resolve([]));
    expect(counts).to.deep.equal(
      Object.keys(scripts).map((name) => [name, name === 'no statement' ? 0 : 1]),
    );
  });

  it('skips a late answer to an earlier request', async () => {
    script = (socket) => socket.write(formatAnswer('old', 'wrong') + formatAnswer('r1', 'right'));
    const connection = connect();
    const end = await sendRequest(connection, 'r1');
    expect(end.kind).to.equal('answered');
    if (end.kind === 'answered') {
      expect(Buffer.concat([...end.answer.body]).toString()).to.equal('right');
    }
    connection.close();
  });

  it('never takes an earlier refusal that is written once more for the answer to a later request', async () => {
    const refusal = 'HTTP/1.1 503 Busy\r\nx-id: r1\r\nContent-Length: 0\r\n\r\n';
    const unnamed = 'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n';
    const ends = await [refusal, unnamed].reduce<Promise<readonly ExchangeEnd[]>>(
      async (before, copy) => {
        const earlier = await before;
        script = (socket, received) => {
          if (received.includes('x-id: r1')) socket.write(refusal);
          else socket.write(`${copy}${formatAnswer('r2', 'own')}`);
        };
        const connection = connect();
        await sendRequest(connection, 'r1');
        await waitForEvents();
        const end = await sendRequest(connection, 'r2');
        connection.close();
        return [...earlier, end];
      },
      Promise.resolve([]),
    );
    const [named, anonymous] = ends;
    expect(named?.kind === 'answered' && named.answer.status).to.equal(200);
    // It may have run, which is what `invalid` stands for.
    expect(anonymous?.kind).to.equal('invalid');
  });

  it('never takes an answer that stops within its head for a whole one', async () => {
    const head = 'HTTP/1.1 200 OK\r\nx-id: r1\r\nConnection: close\r\nContent-Length: 2\r\n\r\n';
    const cuts = Array.from({ length: head.length - 1 }, (_, index) => head.slice(0, index + 1));
    const kinds = await cuts.reduce<Promise<readonly string[]>>(async (before, cut) => {
      const earlier = await before;
      script = (socket) => socket.end(cut);
      return [...earlier, (await sendRequest(connect(), 'r1')).kind];
    }, Promise.resolve([]));
    expect(new Set(kinds)).to.satisfy((seen: ReadonlySet<string>) => !seen.has('answered'));
    expect(kinds).to.have.length(head.length - 1);
  });

  it('is closed after bytes that belong to no request, whether in the same packet or later', async () => {
    script = (socket) => socket.write(`${formatAnswer('r1', 'ok')}extra`);
    const connection = connect();
    expect((await sendRequest(connection, 'r1')).kind).to.equal('answered');
    await waitForEvents();
    expect([idleCount, closedCount]).to.deep.equal([0, 1]);

    script = (socket) => {
      socket.write(formatAnswer('r2', 'ok'));
      setTimeout(() => socket.write('extra'), 10);
    };
    const later = connect();
    expect((await sendRequest(later, 'r2')).kind).to.equal('answered');
    await waitForEvents();
    expect(closedCount).to.equal(2);
    expect(later.isIdle).to.equal(false);
  });

  it('accepts an answer without a length as complete when the connection ends normally', async () => {
    script = (socket) => socket.end('HTTP/1.1 200 OK\r\nx-id: r1\r\nConnection: close\r\n\r\nall');
    const end = await sendRequest(connect(), 'r1');
    expect(end.kind).to.equal('answered');
  });

  it('reports an answer without a length as invalid when the connection is reset', async () => {
    script = (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nx-id: r1\r\nConnection: close\r\n\r\npart', () => {
        socket.resetAndDestroy();
        // Data and reset are both pending before the reader runs.
        setImmediate(() => runBusyLoop(20));
      });
    };
    const end = await sendRequest(connect(), 'r1');
    expect(end.kind).to.equal('invalid');
  });

  it('reports a truncated or malformed answer as invalid, however it is framed', async () => {
    const truncatedAnswers = [
      'HTTP/1.1 200 OK\r\nx-id: r1\r\nContent-Length: 10\r\n\r\nshort',
      'HTTP/1.1 200 OK\r\nx-id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n',
      'HTTP/1.1 200 OK\r\nx-id: r1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nshort\r\n0\r\n\r\n',
      'HTTP/1.1 200 OK\r\nx-id: r1\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\nshort',
      'HTTP/1.1 200 OK\r\nx-id: r1\r\nContent-Length: five\r\n\r\nshort',
      'not http at all\r\n\r\n',
    ];
    const ends = await Promise.all(
      truncatedAnswers.map(async (cut) => {
        script = (socket) => socket.end(cut);
        const end = sendRequest(connect(), 'r1');
        await waitForEvents();
        return (await end).kind;
      }),
    );
    expect(new Set(ends)).to.deep.equal(new Set(['invalid']));
  });

  /** Sends an upload that does not fit into the buffers of the connection, which nobody reads. */
  async function sendUpload(connection: UpstreamConnection): Promise<ExchangeEnd> {
    const body = [Buffer.alloc(32 * 1024 * 1024)];
    const [size] = body.map(({ length }) => length);
    const head = `POST /a HTTP/1.1\r\nHost: h\r\nx-id: a\r\nContent-Length: ${size}\r\n\r\n`;
    return new Promise((resolve) => {
      connection.send({ requestId: 'a', method: 'POST', head, body }, resolve);
    });
  }

  [
    { name: 'a reset', finish: (socket: Socket) => socket.resetAndDestroy() },
    { name: 'an end', finish: (socket: Socket) => socket.end() },
  ].forEach(({ name, finish }) =>
    [false, true].forEach((isReadTogether) =>
      it(`takes no early answer without a length for whole that ${name} cuts during the upload${isReadTogether ? ', read together' : ''}`, async () => {
        script = (socket) => {
          script = () => undefined;
          socket.pause();
          socket.write('HTTP/1.1 200 OK\r\nx-id: a\r\n\r\npart', () => {
            finish(socket);
            if (isReadTogether) setImmediate(() => runBusyLoop(30));
          });
        };
        expect((await sendUpload(connect())).kind).to.equal('invalid');
      }),
    ),
  );

  ['000', '099', '600', '999', '20', '2OO', '0200', '-200', '101'].forEach((status) =>
    it(`takes an answer with the status ${status} for none`, async () => {
      script = (socket) =>
        socket.end(`HTTP/1.1 ${status} OK\r\nx-id: a\r\nContent-Length: 2\r\n\r\nhi`);
      expect((await sendRequest(connect(), 'a')).kind).not.to.equal('answered');
    }),
  );

  it('distinguishes a request that was never sent from one that may have run', async () => {
    script = (socket) => socket.destroy();
    expect((await sendRequest(connect(), 'r1')).kind).to.equal('lost');
    const { port } = server.address() as AddressInfo;
    await new Promise((resolve) => {
      server.close(resolve);
    });
    const refused = new UpstreamConnection({
      address: '127.0.0.1',
      port,
      connectTimeoutMs: 1000,
      maxAnswerBytes: 1024,
      dialect,
      upstreamId: 'u',
      heldBytes,
      now: () => performance.now(),
      onIdle: () => undefined,
      onClosed: () => undefined,
      onLeaving: () => undefined,
    });
    expect((await sendRequest(refused, 'r1')).kind).to.equal('unsent');
  });

  describe('that receives endless bytes', () => {
    const HEAD = 'HTTP/1.1 200 OK\r\nx-id: r1\r\n';
    const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
    /** Above every limit of the connection, and less than a fast link carries in a second. */
    const MAX_ACCEPTED_BYTES = 8 * 1024 * 1024;
    const PIECE_BYTES = 16 * 1024;

    /** Sends the piece repeatedly until the other side closes; counts the bytes sent. */
    async function countAcceptedBytes(
      start: string,
      piece: string,
    ): Promise<readonly [string, number]> {
      let acceptedBytes = 0;
      const repeated = piece.repeat(Math.ceil(PIECE_BYTES / piece.length));
      script = (socket) => {
        script = () => undefined;
        const sendPiece = (): void => {
          if (socket.destroyed || acceptedBytes > 2 * MAX_ACCEPTED_BYTES) return;
          acceptedBytes += repeated.length;
          if (socket.write(repeated)) setImmediate(sendPiece);
          else socket.once('drain', sendPiece);
        };
        socket.write(start);
        sendPiece();
      };
      const end = await sendRequest(connect(), 'r1');
      await waitForEvents();
      return [end.kind, acceptedBytes];
    }

    const endless: readonly (readonly [string, string, string])[] = [
      ['a status line', 'HTTP/1.1 200 ', 'x'],
      ['one header', `${HEAD}X-Long: `, 'x'],
      ['header after header', HEAD, 'X-A: 1\r\n'],
      ['a folded header', `${HEAD}X-A: 1\r\n`, ' more\r\n'],
      ['interim answers', '', 'HTTP/1.1 100 Continue\r\n\r\n'],
      ['answers to other requests', '', formatAnswer('other', 'body')],
      ['the size of a chunk', CHUNKED, '0'],
      ['the extension of a chunk', `${CHUNKED}5;a=`, 'x'],
      ['trailers', `${CHUNKED}5\r\nhello\r\n0\r\n`, 'X-T: 1\r\n'],
      ['one trailer', `${CHUNKED}5\r\nhello\r\n0\r\nX-T: `, 'x'],
      ['a body without a length', `${HEAD}Connection: close\r\n\r\n`, 'body'],
      ['a body in chunks', CHUNKED, '4\r\nbody\r\n'],
      ['empty lines', '', '\r\n'],
      ['bytes that are not HTTP', '', '\0\u0001\u0002'],
    ];

    endless.forEach(([name, start, piece]) => {
      it(`reports ${name} without end as invalid`, async () => {
        const [kind, taken] = await countAcceptedBytes(start, piece);
        expect(kind).to.equal('invalid');
        expect(taken).to.be.lessThan(MAX_ACCEPTED_BYTES);
        expect(heldBytes.total).to.equal(0);
      });
    });

    it('refuses a body by its stated length alone', async () => {
      const stated = `${HEAD}Content-Length: ${2 * MAX_ACCEPTED_BYTES}\r\n\r\n`;
      const [kind, taken] = await countAcceptedBytes(stated, 'x');
      expect(kind).to.equal('invalid');
      expect(taken).to.be.lessThan(MAX_ACCEPTED_BYTES / 2);
    });

    it('is cut for a body that comes on another connection, and a short one comes whole', async () => {
      heldBytes = new HeldBytes(600_000);
      const kinds = ['long', 'short'].map(async (name) => {
        script = (socket, received) => {
          const isLong = received.includes('x-id: long');
          const id = isLong ? 'long' : 'short';
          socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nConnection: close\r\n\r\n`);
          const sendPieces = (left: number): void => {
            if (left === 0) socket.end();
            else socket.write(Buffer.alloc(10_000), () => sendPieces(left - 1));
          };
          sendPieces(isLong ? 90 : 20);
        };
        return (await sendRequest(connect(), name)).kind;
      });
      expect(await Promise.all(kinds)).to.deep.equal(['invalid', 'answered']);
      expect(heldBytes.total).to.equal(0);
    });
  });

  it('rejects an answer without a request id once the connection has answered a request before', async () => {
    script = (socket, received) => {
      const id = /x-id: (\S+)/.exec(received)?.[1] ?? '';
      socket.write(
        id === 'r1'
          ? formatAnswer(id, 'first')
          : 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst',
      );
    };
    const connection = connect();
    expect((await sendRequest(connection, 'r1')).kind).to.equal('answered');
    await waitForEvents();
    expect((await sendRequest(connection, 'r2')).kind).to.equal('invalid');
    expect((await sendRequest(connect(), 'r3')).kind).to.equal('answered');
  });

  [-1, 65_536, 99_999, Number.NaN].forEach((port) => {
    it(`ends a request as unsent where the port of its upstream is ${port}`, async () => {
      const connection = connect(port);
      expect((await sendRequest(connection, 'r1')).kind).to.equal('unsent');
      expect(closedCount).to.equal(1);
    });
  });

  const unusableHeads: readonly (readonly [string, string])[] = [
    ['a control character in its status text', 'HTTP/1.1 200 O\u0001K\r\n'],
    ['a control character in a value', 'HTTP/1.1 200 OK\r\nx-a: a\u0000b\r\n'],
    ['a name that is no token', 'HTTP/1.1 200 OK\r\n(x-a): b\r\n'],
    ['a control character in a name', 'HTTP/1.1 200 OK\r\nx-\u0001a: b\r\n'],
    ['a status below 100', 'HTTP/1.1 099 OK\r\n'],
  ];

  unusableHeads.forEach(([name, head]) => {
    it(`takes an answer for invalid whose head has ${name}`, async () => {
      script = (socket) => socket.write(`${head}x-id: r1\r\nContent-Length: 2\r\n\r\nok`);
      const end = await sendRequest(connect(), 'r1');
      expect(end.kind).to.equal('invalid');
    });
  });

  it('passes on the bytes of a header value unchanged', async () => {
    script = (socket) =>
      socket.write('HTTP/1.1 200 OK\r\nx-id: r1\r\nx-name: \u00c0\r\nContent-Length: 0\r\n\r\n');
    const end = await sendRequest(connect(), 'r1');
    const headers = end.kind === 'answered' ? end.answer.headers : [];
    expect(headers).to.deep.equal(['x-id', 'r1', 'x-name', '\u00c3\u0080', 'Content-Length', '0']);
  });

  it('takes an answer without a body for invalid that states two lengths', async () => {
    script = (socket) =>
      socket.write('HTTP/1.1 200 OK\r\nx-id: r1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n');
    expect((await sendRequest(connect(), 'r1')).kind).to.equal('invalid');
  });
});
