/**
 * Stand-in for the platform's store: ranges and watches, linearizable, and a restore from a copy that
 * begins a new era.
 */
import { createServer } from 'node:http';

const PAGE_ITEMS = 500;

export class Store {
  #items = new Map();

  #history = [];

  #historyStart = 0;

  #revision = 10;

  #era = 1;

  #watchers = new Set();

  #isAway = false;

  #server = createServer((request, response) => this.#handle(request, response));

  async listen() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return this.#server.address().port;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  put(key, value) {
    this.#revision += 1;
    const { created } = this.#items.get(key) ?? { created: this.#revision };
    const item = {
      key,
      value: Buffer.from(JSON.stringify(value)).toString('base64'),
      revision: this.#revision,
      created,
      lease: 0,
    };
    this.#items.set(key, item);
    this.#record(item);
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#record({ key, revision: this.#revision, removed: true });
  }

  takeCopy() {
    return { items: new Map(this.#items), history: [...this.#history], revision: this.#revision };
  }

  /** Stops answering: new calls and waiting watches are reset. */
  leave() {
    this.#isAway = true;
    this.#server.closeAllConnections();
    this.#watchers.clear();
  }

  /** Cuts the watches that wait, and answers the next call. */
  cutWatches() {
    [...this.#watchers].forEach((watcher) => watcher.cut());
  }

  /** Answers again, with nothing lost. */
  comeBack() {
    this.#isAway = false;
  }

  /** Comes back from a copy. */
  restore({ items, history, revision }) {
    this.#items = new Map(items);
    this.#history = [...history];
    this.#revision = revision;
    this.#era += 1;
    this.#isAway = false;
  }

  #record(event) {
    this.#history.push(event);
    [...this.#watchers].forEach((watcher) => watcher.finish());
  }

  #handle(request, response) {
    if (this.#isAway) {
      request.socket.resetAndDestroy();
      return;
    }
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    if (pathname === '/kv-range') this.#answerRange(searchParams, response);
    else if (pathname === '/kv-watch') this.#answerWatch(searchParams, response);
    else this.#answer(response, 404, { error: 'unknown path' });
  }

  #answerRange(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const items = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    this.#answer(response, 200, {
      items: items.slice(0, PAGE_ITEMS),
      hasMore: items.length > PAGE_ITEMS,
      currentRev: this.#revision,
    });
  }

  #answerWatch(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    if (after < this.#historyStart || after > this.#revision) {
      this.#answer(response, 410, { error: 'history is gone' });
      return;
    }
    const list = () =>
      this.#history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const watcher = {
      cut: () => response.socket?.end(),
      finish: () => {
        clearTimeout(watcher.timer);
        this.#watchers.delete(watcher);
        this.#answer(response, 200, { events: list(), currentRev: this.#revision });
      },
    };
    if (list().length > 0) {
      watcher.finish();
      return;
    }
    watcher.timer = setTimeout(watcher.finish, Math.min(30_000, Number(query.get('waitMs'))));
    this.#watchers.add(watcher);
    response.once('close', () => {
      clearTimeout(watcher.timer);
      this.#watchers.delete(watcher);
    });
  }

  #answer(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
      'Store-Era': String(this.#era),
    });
    response.end(text);
  }
}

/** A configuration as operators write it; `routes` are prefix, kind and service. */
export function buildConfiguration(version, host, routes, { tenants, timeoutS = 2 } = {}) {
  const services = [...new Set(routes.map(({ service }) => service))];
  return {
    version: `r${version}`,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 67_108_864,
      headerTimeoutS: 3,
      idleTimeoutS: 15,
    },
    listeners: [
      {
        host,
        rules: routes.map(({ prefix, kind, service, maxAttempts = 2 }) => ({
          name: `r${prefix.replaceAll('/', '-')}`,
          kind,
          targetLatencyS: 0.6,
          priority: 1,
          match: { prefix },
          action: { service, timeoutS, maxAttempts },
        })),
      },
    ],
    clusters: services.map((name) => ({
      name,
      healthPath: '/health',
      maxConnections: 330,
      protocol: 'h1',
      tls: false,
    })),
    ...(tenants ? { tenants } : {}),
  };
}

/** An instance's entry. */
export function buildEntry({ service, address, zone, born, state = 'ready', slots = 3 }) {
  return {
    service,
    address,
    zone,
    version: 'v1',
    maxConcurrency: slots,
    state,
    warmupLeftS: 0,
    sequence: 1,
    born,
  };
}
