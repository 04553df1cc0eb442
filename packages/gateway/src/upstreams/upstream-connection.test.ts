import { expect } from 'chai';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

import type { AnswerHead, HeaderMap, HttpDialect } from '../dialect/index.js';
import type { ExchangeEnd } from './types.js';
import { UpstreamConnection } from './upstream-connection.js';

const dialect: HttpDialect = {
  ownHeaders: new Set(),
  readCallerHead: () => ({ requestId: undefined, timeAllowedMs: undefined }),
  readAnswerHead: (_status: number, headers: HeaderMap): AnswerHead => ({
    requestId: headers['x-id'] as string | undefined,
    isNotRun: false,
    isSigned: true,
    load: undefined,
    keepAliveMs: undefined,
  }),
  buildUpstreamHeaders: () => [],
};

type Script = (socket: Socket, received: string) => void;

/** Blocks the process, so that all that a peer does meanwhile is seen at once. */
function keepBusy(ms: number): void {
  const until = performance.now() + ms;
  const spin = (): void => {
    if (performance.now() < until) spin();
  };
  try {
    spin();
  } catch {
    keepBusy(until - performance.now());
  }
}

describe('a connection to an upstream', () => {
  let server: Server;
  let script: Script;
  let idleCount = 0;
  let closedCount = 0;

  beforeEach(async () => {
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

  function connect(): UpstreamConnection {
    return new UpstreamConnection({
      address: '127.0.0.1',
      port: (server.address() as AddressInfo).port,
      connectTimeoutMs: 1000,
      maxAnswerBytes: 1024 * 1024,
      dialect,
      now: () => performance.now(),
      onIdle: () => {
        idleCount += 1;
      },
      onClosed: () => {
        closedCount += 1;
      },
    });
  }

  async function ask(connection: UpstreamConnection, requestId: string): Promise<ExchangeEnd> {
    return new Promise((resolve) => {
      const head = `GET /a HTTP/1.1\r\nHost: h\r\nx-id: ${requestId}\r\n\r\n`;
      connection.send({ requestId, method: 'GET', head, body: [] }, resolve);
    });
  }

  function formatAnswer(id: string, body: string): string {
    return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
  }

  async function settle(): Promise<void> {
    await new Promise((resolve) => {
      setTimeout(resolve, 30);
    });
  }

  it('takes a whole answer and can be used again', async () => {
    script = (socket, received) =>
      socket.write(formatAnswer(/x-id: (\S+)/.exec(received)?.[1] ?? '', 'ok'));
    const connection = connect();
    expect((await ask(connection, 'r1')).kind).to.equal('answered');
    await settle();
    expect(idleCount).to.equal(1);
    expect((await ask(connection, 'r2')).kind).to.equal('answered');
    connection.close();
  });

  it('skips an answer to an earlier request that comes late', async () => {
    script = (socket) => socket.write(formatAnswer('old', 'wrong') + formatAnswer('r1', 'right'));
    const connection = connect();
    const end = await ask(connection, 'r1');
    expect(end.kind).to.equal('answered');
    if (end.kind === 'answered') {
      expect(Buffer.concat([...end.answer.body]).toString()).to.equal('right');
    }
    connection.close();
  });

  it('is closed after bytes that belong to no request, in the same packet or later', async () => {
    script = (socket) => socket.write(`${formatAnswer('r1', 'ok')}extra`);
    const connection = connect();
    expect((await ask(connection, 'r1')).kind).to.equal('answered');
    await settle();
    expect([idleCount, closedCount]).to.deep.equal([0, 1]);

    script = (socket) => {
      socket.write(formatAnswer('r2', 'ok'));
      setTimeout(() => socket.write('extra'), 10);
    };
    const later = connect();
    expect((await ask(later, 'r2')).kind).to.equal('answered');
    await settle();
    expect(closedCount).to.equal(2);
    expect(later.isIdle).to.equal(false);
  });

  it('takes an answer without a length that ends with its connection as whole', async () => {
    script = (socket) => socket.end('HTTP/1.1 200 OK\r\nx-id: r1\r\nConnection: close\r\n\r\nall');
    const end = await ask(connect(), 'r1');
    expect(end.kind).to.equal('answered');
  });

  it('never takes an answer without a length as whole that ends in a reset', async () => {
    script = (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nx-id: r1\r\nConnection: close\r\n\r\npart', () => {
        socket.resetAndDestroy();
        // Data and reset wait together until the reader gets to them.
        setImmediate(() => keepBusy(20));
      });
    };
    const end = await ask(connect(), 'r1');
    expect(end.kind).to.equal('invalid');
  });

  it('calls a cut answer invalid, however it is framed', async () => {
    const cuts = [
      'HTTP/1.1 200 OK\r\nx-id: r1\r\nContent-Length: 10\r\n\r\nshort',
      'HTTP/1.1 200 OK\r\nx-id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n',
      'HTTP/1.1 200 OK\r\nx-id: r1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nshort\r\n0\r\n\r\n',
      'HTTP/1.1 200 OK\r\nx-id: r1\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\nshort',
      'HTTP/1.1 200 OK\r\nx-id: r1\r\nContent-Length: five\r\n\r\nshort',
      'not http at all\r\n\r\n',
    ];
    const ends = await Promise.all(
      cuts.map(async (cut) => {
        script = (socket) => socket.end(cut);
        const end = ask(connect(), 'r1');
        await settle();
        return (await end).kind;
      }),
    );
    expect(new Set(ends)).to.deep.equal(new Set(['invalid']));
  });

  it('tells what was never sent from what may have run', async () => {
    script = (socket) => socket.destroy();
    expect((await ask(connect(), 'r1')).kind).to.equal('lost');
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
      now: () => performance.now(),
      onIdle: () => undefined,
      onClosed: () => undefined,
    });
    expect((await ask(refused, 'r1')).kind).to.equal('unsent');
  });

  describe('whose bytes have no end', () => {
    const HEAD = 'HTTP/1.1 200 OK\r\nx-id: r1\r\n';
    const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
    /** More than any part that is no body may take, and less than a second of a fast link. */
    const MAX_TAKEN_BYTES = 8 * 1024 * 1024;
    const PIECE_BYTES = 16 * 1024;

    /** Sends the piece again and again until the other side closes; counts what it took. */
    async function countTaken(start: string, piece: string): Promise<readonly [string, number]> {
      let taken = 0;
      const repeated = piece.repeat(Math.ceil(PIECE_BYTES / piece.length));
      script = (socket) => {
        script = () => undefined;
        const pour = (): void => {
          if (socket.destroyed || taken > 2 * MAX_TAKEN_BYTES) return;
          taken += repeated.length;
          if (socket.write(repeated)) setImmediate(pour);
          else socket.once('drain', pour);
        };
        socket.write(start);
        pour();
      };
      const end = await ask(connect(), 'r1');
      await settle();
      return [end.kind, taken];
    }

    const endless: readonly (readonly [string, string, string])[] = [
      ['a status line', 'HTTP/1.1 200 ', 'x'],
      ['one header', `${HEAD}X-Long: `, 'x'],
      ['header after header', HEAD, 'X-A: 1\r\n'],
      ['a folded header', `${HEAD}X-A: 1\r\n`, ' more\r\n'],
      ['interim answers', '', 'HTTP/1.1 100 Continue\r\n\r\n'],
      ['answers to requests of others', '', formatAnswer('other', 'body')],
      ['the size of a chunk', CHUNKED, '0'],
      ['the extension of a chunk', `${CHUNKED}5;a=`, 'x'],
      ['trailers', `${CHUNKED}5\r\nhello\r\n0\r\n`, 'X-T: 1\r\n'],
      ['one trailer', `${CHUNKED}5\r\nhello\r\n0\r\nX-T: `, 'x'],
      ['a body without a length', `${HEAD}Connection: close\r\n\r\n`, 'body'],
      ['a body in chunks', CHUNKED, '4\r\nbody\r\n'],
      ['no lines at all', '', '\r\n'],
      ['bytes that are no HTTP', '', '\0\u0001\u0002'],
    ];

    endless.forEach(([name, start, piece]) => {
      it(`gives up ${name}`, async () => {
        const [kind, taken] = await countTaken(start, piece);
        expect(kind).to.equal('invalid');
        expect(taken).to.be.lessThan(MAX_TAKEN_BYTES);
      });
    });
  });

  it('takes no answer without an id where one to an earlier request may still come', async () => {
    script = (socket, received) => {
      const id = /x-id: (\S+)/.exec(received)?.[1] ?? '';
      socket.write(
        id === 'r1'
          ? formatAnswer(id, 'first')
          : 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst',
      );
    };
    const connection = connect();
    expect((await ask(connection, 'r1')).kind).to.equal('answered');
    await settle();
    expect((await ask(connection, 'r2')).kind).to.equal('invalid');
    expect((await ask(connect(), 'r3')).kind).to.equal('answered');
  });
});
