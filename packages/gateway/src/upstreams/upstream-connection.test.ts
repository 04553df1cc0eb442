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
});
