/**
 * Stand-in for the platform's configuration service and VM list: the read side of Consul's
 * key-value HTTP interface with blocking queries. It can be down, or stale, which means that it
 * serves an older value than the newest. It counts each read, a waiting watch as one.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

export type ServiceMode = 'up' | 'down' | 'stale';

export type ReadCounts = { readonly reads: number; readonly watches: number };

type StoredValue = { readonly index: number; readonly text: string };

type Watcher = { readonly key: string; readonly wake: () => void };

const MAX_WAIT_MS = 60_000;
const KEY_PREFIX = '/v1/kv/';

function parseWaitMs(wait: string | null): number {
  const match = /^(\d+)(ms|s)$/.exec(wait ?? '');
  if (!match) return 0;
  return Math.min(MAX_WAIT_MS, Number(match[1]) * (match[2] === 's' ? 1000 : 1));
}

export class KeyValueService {
  readonly #server: Server;

  readonly #values = new Map<string, readonly StoredValue[]>();

  #watchers: readonly Watcher[] = [];

  #mode: ServiceMode = 'up';

  #index = 1;

  #counts: ReadCounts = { reads: 0, watches: 0 };

  constructor() {
    this.#server = createServer((request, response) => this.#handle(request, response));
  }

  async start(address = '127.0.0.1'): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, address, resolve);
    });
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  get counts(): ReadCounts {
    return this.#counts;
  }

  /** Puts a new value in force, as an operator would. */
  publish(key: string, text: string): void {
    this.#index += 1;
    this.#values.set(key, [...(this.#values.get(key) ?? []), { index: this.#index, text }]);
    const woken = this.#watchers.filter((watcher) => watcher.key === key);
    this.#watchers = this.#watchers.filter((watcher) => watcher.key !== key);
    woken.forEach((watcher) => watcher.wake());
  }

  setMode(mode: ServiceMode): void {
    this.#mode = mode;
    if (mode === 'down') this.#server.closeAllConnections();
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    if (this.#mode === 'down') {
      request.socket.destroy();
      return;
    }
    const url = new URL(request.url ?? '/', 'http://localhost');
    if (request.method !== 'GET' || !url.pathname.startsWith(KEY_PREFIX)) {
      response.writeHead(405).end();
      return;
    }
    this.#read(url, response);
  }

  #read(url: URL, response: ServerResponse): void {
    const key = decodeURIComponent(url.pathname.slice(KEY_PREFIX.length));
    const knownIndex = Number(url.searchParams.get('index') ?? 0);
    const waitMs = parseWaitMs(url.searchParams.get('wait'));
    const current = this.#find(key);
    this.#count(waitMs > 0);
    if (waitMs === 0 || knownIndex === 0 || (current && current.index !== knownIndex)) {
      this.#answer(key, response);
      return;
    }
    this.#watch(key, waitMs, response);
  }

  #count(isWatch: boolean): void {
    const { reads, watches } = this.#counts;
    this.#counts = { reads: reads + 1, watches: watches + (isWatch ? 1 : 0) };
  }

  #watch(key: string, waitMs: number, response: ServerResponse): void {
    const timer = setTimeout(() => this.#answer(key, response), waitMs);
    const wake = (): void => {
      clearTimeout(timer);
      this.#answer(key, response);
    };
    this.#watchers = [...this.#watchers, { key, wake }];
    response.on('close', () => {
      clearTimeout(timer);
      this.#watchers = this.#watchers.filter((watcher) => watcher.wake !== wake);
    });
  }

  #find(key: string): StoredValue | undefined {
    const values = this.#values.get(key) ?? [];
    return this.#mode === 'stale' ? values[0] : values.at(-1);
  }

  #answer(key: string, response: ServerResponse): void {
    const value = this.#find(key);
    if (response.writableEnded) return;
    if (!value) {
      response.writeHead(404, { 'x-consul-index': String(this.#index) }).end();
      return;
    }
    const row = {
      Key: key,
      Value: Buffer.from(value.text).toString('base64'),
      ModifyIndex: value.index,
    };
    response
      .writeHead(200, {
        'content-type': 'application/json',
        'x-consul-index': String(value.index),
      })
      .end(JSON.stringify([row]));
  }
}
