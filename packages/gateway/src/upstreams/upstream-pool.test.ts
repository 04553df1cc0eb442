import { expect } from 'chai';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

import { HeldBytes } from '../held-bytes/index.js';
import { PLAIN_DIALECT } from '../requests/request-fixtures.js';
import type { ExchangeEnd } from './types.js';
import { UpstreamPool } from './upstream-pool.js';

describe('the connections to one upstream', () => {
  it('finds an upstream unreachable whose port is out of range, and probes it again', async () => {
    const pool = new UpstreamPool({
      address: '127.0.0.1',
      port: 99_999,
      dialect: PLAIN_DIALECT,
      upstreamId: 'u',
      heldBytes: new HeldBytes(1024 * 1024),
      now: () => 0,
      onLeaving: () => undefined,
    });
    const probe = async (): Promise<boolean> =>
      new Promise((resolve) => {
        pool.probe(resolve);
      });
    expect(await probe()).to.equal(false);
    expect(await probe()).to.equal(false);
    expect(pool.openCount).to.equal(0);
  });

  it('withdraws what is not written yet when it is drained, and lets the rest run on', async () => {
    const server = createServer((socket) =>
      socket.on('data', () =>
        setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'), 40),
      ),
    );
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const pool = new UpstreamPool({
      address: '127.0.0.1',
      port: (server.address() as AddressInfo).port,
      dialect: PLAIN_DIALECT,
      upstreamId: 'u',
      heldBytes: new HeldBytes(1024 * 1024),
      now: () => performance.now(),
      onLeaving: () => undefined,
    });
    const send = async (requestId: string): Promise<ExchangeEnd> =>
      new Promise((resolve) => {
        const head = 'GET / HTTP/1.1\r\n\r\n';
        pool.send({ requestId, method: 'GET', head, body: [] }, true, resolve);
      });
    await new Promise((resolve) => {
      pool.probe(resolve);
    });
    const written = send('written');
    const unwritten = send('unwritten');
    pool.drain();
    expect((await unwritten).kind).to.equal('withdrawn');
    expect((await written).kind).to.equal('answered');
    pool.close();
    server.close();
  });
});
