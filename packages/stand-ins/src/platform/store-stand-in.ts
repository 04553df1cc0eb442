/**
 * Stand-in for the platform's metadata store: paged ranges, watches and failure modes. It shares no
 * code with the store client that it tests.
 *
 * Faults: it resets calls, refuses them or does not answer (`setMode`); it drops its history
 * (`dropHistory`); it comes back from an older copy (`takeCopy`, `restore`), with which it loses what
 * was written since, gives those revisions out again and raises its era by one. What operators and
 * upstreams write again after a restore is written by the test. The header that states the era can
 * be replaced by any other value, or left out (`setEraHeader`).
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** `down` resets calls, `busy` answers 503, `slow` answers late, `silent` never answers. */
export type StoreMode = 'up' | 'down' | 'busy' | 'slow' | 'silent';

type StoredItem = {
  readonly key: string;
  readonly value?: string;
  readonly revision: number;
  readonly removed?: true;
};

/** A copy of the store's content, from which it can be restored. */
export type StoreCopy = {
  readonly items: ReadonlyMap<string, StoredItem>;
  readonly revision: number;
  readonly historyStart: number;
};

type Watcher = {
  readonly after: number;
  readonly response: ServerResponse;
  readonly timer: NodeJS.Timeout;
};

const PAGE_ITEMS = 10;
const SLOW_MS = 600;
const BUSY_STATUS = 503;
const GONE_STATUS = 410;
const NOT_FOUND_STATUS = 404;
const BASE = 'http://localhost';

export class StoreStandIn {
  readonly #server: Server;

  #items = new Map<string, StoredItem>();

  #watchers: readonly Watcher[] = [];

  #revision = 1;

  #historyStart = 0;

  #mode: StoreMode = 'up';

  #reads = 0;

  #era = 1;

  /** Replaces the era in answers; without values, answers state none. */
  #eraHeader: readonly string[] | undefined;

  constructor() {
    this.#server = createServer((message, response) => this.#handle(message, response));
  }

  /** Calls that were answered or refused. */
  get reads(): number {
    return this.#reads;
  }

  get revision(): number {
    return this.#revision;
  }

  async listen(address: string, port = 0): Promise<number> {
    await new Promise<void>((resolve) => {
      this.#server.listen(port, address, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  async close(): Promise<void> {
    this.#watchers.forEach(({ timer }) => clearTimeout(timer));
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    this.#server.closeAllConnections();
    await closed;
  }

  /** Writes a JSON value. */
  put(key: string, value: unknown): void {
    this.putText(key, JSON.stringify(value));
  }

  /** Writes any text, also one that is no JSON. */
  putText(key: string, text: string): void {
    this.#write({ key, value: Buffer.from(text).toString('base64'), revision: this.#advance() });
  }

  remove(key: string): void {
    this.#write({ key, revision: this.#advance(), removed: true });
  }

  setMode(mode: StoreMode): void {
    this.#mode = mode;
    if (mode !== 'up' && mode !== 'slow') this.#dropWatchers();
  }

  /** Drops the history, so that watchers must read the whole store again. */
  dropHistory(): void {
    this.#historyStart = this.#revision;
    this.#dropWatchers();
  }

  takeCopy(): StoreCopy {
    return {
      items: new Map(this.#items),
      revision: this.#revision,
      historyStart: this.#historyStart,
    };
  }

  /** Comes back from a copy in a new era. Waiting watches are cut, or wait on if `keepsWatches`. */
  restore({ items, revision, historyStart }: StoreCopy, { keepsWatches = false } = {}): void {
    this.#items = new Map(items);
    this.#revision = revision;
    this.#historyStart = historyStart;
    this.#era += 1;
    if (!keepsWatches) this.#dropWatchers();
  }

  /** Sets the values of the era header, one for each time that it is sent; undefined: the true era. */
  setEraHeader(values: readonly string[] | undefined): void {
    this.#eraHeader = values;
  }

  #advance(): number {
    this.#revision += 1;
    return this.#revision;
  }

  #write(item: StoredItem): void {
    this.#items.set(item.key, item);
    const waiting = this.#watchers;
    this.#watchers = [];
    waiting.forEach(({ after, response, timer }) => {
      clearTimeout(timer);
      this.#answerWatch(after, response);
    });
  }

  #dropWatchers(): void {
    this.#watchers.forEach(({ response, timer }) => {
      clearTimeout(timer);
      response.destroy();
    });
    this.#watchers = [];
  }

  #handle(message: IncomingMessage, response: ServerResponse): void {
    this.#reads += 1;
    if (this.#mode === 'silent') return;
    if (this.#mode === 'down') {
      message.socket.resetAndDestroy();
      return;
    }
    if (this.#mode === 'busy') {
      this.#answer(response, BUSY_STATUS, {});
      return;
    }
    if (this.#mode === 'slow') setTimeout(() => this.#answerCall(message, response), SLOW_MS);
    else this.#answerCall(message, response);
  }

  #answerCall(message: IncomingMessage, response: ServerResponse): void {
    const { pathname, searchParams } = new URL(message.url ?? '/', BASE);
    if (pathname === '/kv-range') this.#answerRange(searchParams, response);
    else if (pathname === '/kv-watch') this.#handleWatch(searchParams, response);
    else this.#answer(response, NOT_FOUND_STATUS, {});
  }

  #answerRange(query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const items = [...this.#items.values()]
      .filter(({ key, removed }) => removed !== true && key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    this.#answer(response, 200, {
      items: items.slice(0, PAGE_ITEMS),
      hasMore: items.length > PAGE_ITEMS,
      currentRev: this.#revision,
    });
  }

  #handleWatch(query: URLSearchParams, response: ServerResponse): void {
    const after = Number(query.get('after'));
    if (after < this.#historyStart || after > this.#revision) {
      this.#answer(response, GONE_STATUS, { error: 'gone' });
      return;
    }
    if (after < this.#revision) {
      this.#answerWatch(after, response);
      return;
    }
    const timer = setTimeout(
      () => this.#finishWatch(response),
      Math.min(Number(query.get('waitMs')), 30_000),
    );
    this.#watchers = [...this.#watchers, { after, response, timer }];
  }

  #finishWatch(response: ServerResponse): void {
    this.#watchers = this.#watchers.filter((watcher) => watcher.response !== response);
    this.#answer(response, 200, { events: [], currentRev: this.#revision });
  }

  #answerWatch(after: number, response: ServerResponse): void {
    const events = [...this.#items.values()]
      .filter(({ revision }) => revision > after)
      .sort((left, right) => left.revision - right.revision);
    this.#answer(response, 200, { events, currentRev: this.#revision });
  }

  #answer(response: ServerResponse, status: number, body: unknown): void {
    const eraHeader = this.#eraHeader ?? [String(this.#era)];
    response.writeHead(status, {
      'content-type': 'application/json',
      ...(eraHeader.length > 0 ? { 'store-era': [...eraHeader] } : {}),
    });
    response.end(JSON.stringify(body));
  }
}
