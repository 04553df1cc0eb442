/**
 * A randomized soak: real gateway processes, a stand-in store and upstreams behind fault-injecting
 * proxies, callers that keep their connections, and disturbances from outside drawn from a seed.
 * What callers and upstreams saw is judged at the end.
 */
import { createRandom } from '@baobabline/core';
import type { RandomSource } from '@baobabline/core';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';

import { ACCOUNT_BOUNDS, FLOODING_QUOTA } from './accounts.js';
import { SoakCallers } from './callers.js';
import type { SoakDaemon } from './daemon.js';
import { SoakDaemons } from './daemons.js';
import { judgeSoak } from './judge.js';
import { countExcused } from './judge-cuts.js';
import { drawDisturbances } from './plan.js';
import { ROUTE_TIMEOUT_SECONDS, SoakStore } from './published.js';
import { SoakRecorder } from './recorder.js';
import type { Disturbance, Fault, SoakRecord } from './types.js';
import { SoakUpstreams } from './upstreams.js';

export type SoakOptions = {
  readonly seed: number;
  readonly seconds: number;
  /** Gateway processes. */
  readonly processes: number;
  /** The gateway's program. */
  readonly program: string;
  /** The first three numbers of the daemons' addresses; soaks with different ones may run at once. */
  readonly network?: string;
  /** Where each process leaves a file with what it logs, in a folder of each seed. */
  readonly logs?: string;
};

export type SoakResult = {
  readonly seed: number;
  readonly requests: number;
  readonly answered: number;
  readonly disturbances: number;
  readonly stops: number;
  /** Requests that were cut, by the excuse that lets them pass. */
  readonly excused: Readonly<Record<string, number>>;
  readonly faults: readonly Fault[];
};

const DEFAULT_NETWORK = '127.0.5';
const LOOPBACK = '127.0.0.1';
const MIN_UPSTREAMS = 8;
const MIN_GRACE_SECONDS = 5;
const GRACES = 3;
const WATCH_MS = 250;
const WATCH_LIMIT_MS = 2000;
const READY_LIMIT_MS = 1000;
const START_TIMEOUT_MS = 30_000;
const POLL_MS = 50;
/** One in so many seeds has client accounts, with keys and quotas. */
const SEEDS_PER_ACCOUNTS = 2;
/** Part of the run after which an account loses its key. */
const KEY_REMOVAL_PART = 0.3;
/** Part of the run during which upstreams state rate limits. */
const LIMITED_PART = 0.7;

export class Soak {
  readonly #options: SoakOptions;

  readonly #random: RandomSource;

  readonly #recorder = new SoakRecorder();

  readonly #hasAccounts: boolean;

  readonly #store: SoakStore;

  readonly #upstreams: SoakUpstreams;

  readonly #folder = mkdtempSync(join(tmpdir(), 'baobabline-soak-'));

  readonly #graceMs: number;

  #daemons: SoakDaemons | undefined;

  #isOver = false;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    this.#hasAccounts = options.seed % SEEDS_PER_ACCOUNTS === 0;
    this.#store = new SoakStore(this.#recorder, this.#hasAccounts);
    this.#upstreams = new SoakUpstreams(this.#store.server, this.#recorder);
    this.#graceMs = (MIN_GRACE_SECONDS + Math.floor(this.#random.next() * GRACES)) * 1000;
  }

  /** Runs the soak and judges it. Ends only the processes that it started. */
  async run(): Promise<SoakResult> {
    const { seed, seconds, processes } = this.#options;
    const lengthMs = seconds * 1000;
    const disturbances = drawDisturbances(this.#random, lengthMs, {
      processes,
      graceMs: this.#graceMs,
    });
    try {
      const daemons = await this.#startDaemons();
      const callers = new SoakCallers(daemons, this.#recorder, this.#random, {
        prefix: String(seed),
        hasAccounts: this.#hasAccounts,
      });
      await this.#waitUntilReady(daemons, callers);
      await this.#runDisturbances(daemons, callers, disturbances);
    } finally {
      await this.#stop();
    }
    const record = this.#buildRecord(disturbances);
    const { logs } = this.#options;
    if (logs !== undefined) {
      writeFileSync(join(logs, `seed-${seed}`, 'record.json'), JSON.stringify(record));
    }
    return {
      seed,
      requests: record.requests.length,
      answered: record.requests.filter(({ status }) => status === 200).length,
      disturbances: disturbances.length,
      stops: record.struck.filter(({ kind }) => kind === 'stop').length,
      excused: countExcused(record),
      faults: judgeSoak(record),
    };
  }

  async #startDaemons(): Promise<SoakDaemons> {
    const { processes, program, network = DEFAULT_NETWORK, logs, seed } = this.#options;
    const storePort = await this.#store.server.listen(LOOPBACK);
    await this.#upstreams.start(Math.max(MIN_UPSTREAMS, processes));
    this.#store.publish();
    const logFolder = logs === undefined ? undefined : join(logs, `seed-${seed}`);
    if (logFolder !== undefined) mkdirSync(logFolder, { recursive: true });
    const settings = {
      program,
      folder: this.#folder,
      logFolder,
      network,
      storePort,
      graceMs: this.#graceMs,
      bounds: this.#hasAccounts ? ACCOUNT_BOUNDS : [],
    };
    this.#daemons = new SoakDaemons(processes, settings, this.#recorder);
    this.#daemons.start();
    return this.#daemons;
  }

  async #waitUntilReady(daemons: SoakDaemons, callers: SoakCallers): Promise<void> {
    const until = performance.now() + START_TIMEOUT_MS;
    const poll = async (daemon: SoakDaemon): Promise<void> => {
      const { status } = await callers.sendAlone(daemon, '/read/ready', READY_LIMIT_MS);
      if (status === 200) return;
      if (performance.now() > until) throw new Error(`${daemon.id} does not serve`);
      await wait(POLL_MS);
      await poll(daemon);
    };
    await Promise.all(daemons.all.map(poll));
    this.#recorder.start();
    this.#recorder.add('published', { version: this.#store.version, atMs: 0 });
  }

  async #runDisturbances(
    daemons: SoakDaemons,
    callers: SoakCallers,
    disturbances: readonly Disturbance[],
  ): Promise<void> {
    const lengthMs = this.#options.seconds * 1000;
    const calling = Promise.all([callers.run(), callers.runCrashing(), callers.runAccounts()]);
    const watching = this.#checkVersions(daemons, callers);
    const others = [
      this.#removeKey(lengthMs * KEY_REMOVAL_PART),
      this.#store.runCopies(),
      this.#upstreams.runRateLimits(lengthMs * LIMITED_PART),
    ];
    await Promise.all(
      disturbances.map(async (disturbance) => {
        await wait(disturbance.startMs - this.#recorder.now);
        await this.#apply(daemons, disturbance);
      }),
    );
    await wait(Math.max(0, lengthMs - this.#recorder.now));
    await daemons.waitUntilStopped();
    callers.stop();
    this.#isOver = true;
    await Promise.all([calling, watching]);
    await this.#store.close();
    await Promise.all(others);
  }

  async #removeKey(afterMs: number): Promise<void> {
    await wait(afterMs);
    this.#store.removeKey();
  }

  async #apply(daemons: SoakDaemons, disturbance: Disturbance): Promise<void> {
    const { kind, startMs, endMs, target, signals } = disturbance;
    const isDone =
      (await this.#store.apply(disturbance, () => this.#upstreams.writeAgain())) ||
      (await this.#upstreams.apply(disturbance));
    if (isDone) return;
    const alone =
      kind === 'kill'
        ? ({ signal: 'SIGKILL', afterMs: 0 } as const)
        : ({ signal: 'SIGSTOP', afterMs: 0, forMs: endMs - startMs } as const);
    await daemons.get(target)?.sendSignals(signals ?? [alone], kind === 'stop-at-start');
  }

  /** Asks each daemon for the route of the newest version, and of one before it. */
  async #checkVersions(daemons: SoakDaemons, callers: SoakCallers): Promise<void> {
    if (this.#isOver) return;
    const { version: newest } = this.#store;
    const versions = [newest, newest - 1].filter((version) => version > 0);
    await Promise.all(
      daemons.all.flatMap((daemon) =>
        versions.map(async (version) => this.#checkVersion(daemon, callers, version)),
      ),
    );
    await wait(WATCH_MS);
    await this.#checkVersions(daemons, callers);
  }

  async #checkVersion(daemon: SoakDaemon, callers: SoakCallers, version: number): Promise<void> {
    const seen = await callers.sendAlone(daemon, `/v${version}/x`, WATCH_LIMIT_MS);
    const { daemon: id, life, sentMs, endMs, status } = seen;
    if (![200, 404].includes(status)) return;
    this.#recorder.add('versions', {
      daemon: id,
      life,
      atMs: sentMs,
      endMs,
      version,
      isThere: status === 200,
    });
  }

  #buildRecord(disturbances: readonly Disturbance[]): SoakRecord {
    const { rows } = this.#recorder;
    // Requests that waited for the fleet to stand are no part of the soak.
    const known = new Set(rows.requests.map(({ id }) => id));
    return {
      ...rows,
      graceMs: this.#graceMs,
      routeTimeMs: ROUTE_TIMEOUT_SECONDS * 1000,
      disturbances,
      quotas: this.#hasAccounts ? [FLOODING_QUOTA] : [],
      keyRemovedMs: this.#store.keyRemovedMs,
      runs: this.#upstreams
        .listRuns()
        .filter(({ requestId, atMs }) => atMs > 0 || known.has(requestId)),
    };
  }

  async #stop(): Promise<void> {
    this.#recorder.stop();
    this.#daemons?.kill();
    await this.#upstreams.close();
    await this.#store.close();
    rmSync(this.#folder, { recursive: true });
  }
}
