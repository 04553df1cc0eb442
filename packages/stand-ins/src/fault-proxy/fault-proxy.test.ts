import { expect } from 'chai';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

import { FaultProxy } from './fault-proxy.js';

const ADDRESS = '127.0.0.1';
const SETTLE_MS = 40;

describe('the fault-injecting proxy', () => {
  let server: Server;
  let accepted: readonly Socket[] = [];
  let proxy: FaultProxy;

  beforeEach(async () => {
    accepted = [];
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      accepted = [...accepted, socket];
    });
    await new Promise<void>((resolve) => {
      server.listen(0, ADDRESS, resolve);
    });
    proxy = new FaultProxy({ address: ADDRESS, port: (server.address() as AddressInfo).port });
    await proxy.start();
  });

  afterEach(async () => {
    accepted.forEach((socket) => socket.destroy());
    server.close();
    await proxy.stop();
  });

  async function createConnection(): Promise<Socket> {
    const socket = connect({ port: proxy.port, host: ADDRESS, allowHalfOpen: true });
    socket.on('error', () => undefined);
    socket.write('hello');
    await wait(SETTLE_MS);
    return socket;
  }

  it('passes a reset on as a reset, also one that comes together with data', async () => {
    const socket = await createConnection();
    let hasError = false;
    socket.on('error', () => {
      hasError = true;
    });
    socket.on('data', () => undefined);
    accepted[0]?.write('part', () => accepted[0]?.resetAndDestroy());
    await wait(SETTLE_MS);
    // Node may tell a reset as an end; only a write shows it.
    socket.write('more');
    await wait(SETTLE_MS);
    expect(hasError).to.equal(true);
  });

  it('passes an end on as an end', async () => {
    const socket = await createConnection();
    let hasError = false;
    socket.on('error', () => {
      hasError = true;
    });
    socket.on('data', () => undefined);
    accepted[0]?.end('whole');
    await wait(SETTLE_MS);
    socket.write('more');
    await wait(SETTLE_MS);
    expect([socket.readableEnded, hasError]).to.deep.equal([true, false]);
  });

  it('stops also when a silenced connection has lost one of its ends', async () => {
    await createConnection();
    proxy.silence();
    accepted.forEach((socket) => socket.destroy());
    await wait(SETTLE_MS);
    await proxy.stop();
    await proxy.start();
  });
});
