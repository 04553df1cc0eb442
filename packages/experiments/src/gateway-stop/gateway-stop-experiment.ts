/**
 * A rolling restart of real gateways under load: callers find the daemons by the directory, some of
 * them with an answer that is three times as old as allowed, and use their connections until they
 * are closed. All daemons are restarted in turn by SIGTERM. Counts what the stops refused and cut.
 */
import { createRandom } from '@baobabline/core';
import type { RandomSource } from '@baobabline/core';
import {
  buildStoreConfiguration,
  buildStoreEntry,
  DirectoryCaller,
  GATEWAY_PORTS,
  GatewayProcess,
  InstanceStandIn,
  StoreStandIn,
} from '@baobabline/stand-ins';
import type { CallerAttempt } from '@baobabline/stand-ins';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { printProgress, runInTurn, wait } from '../runner/report.js';
import { computeFigures } from './figures.js';
import type { GatewayStopFigures, SeenStop } from './figures.js';
import { drawKind, drawWorkMs, getProfile } from './profiles.js';
import type { Profile, ProfileName } from './profiles.js';

export type GatewayStopOptions = {
  readonly seed: number;
  readonly processes: number;
  /** Daemons that are stopped at the same time. */
  readonly together: number;
  readonly profile: ProfileName;
  /** Requests per second; that of the profile where it is left out. */
  readonly ratePerSecond?: number | undefined;
  /** Part of the callers that open a connection for each request. */
  readonly freshPart: number;
  /** The first three numbers of the daemons' loopback addresses. */
  readonly addressPrefix: string;
  /** The gateway's program. */
  readonly program: string;
};

const HOST = 'stops.example';
const LOOPBACK = '127.0.0.1';
const DATA_CENTRES = 3;
const STOP_GRACE_SECONDS = 6;
const SEEDS = 3;
/** Time between two requests of a caller, in the mean. */
const CALLER_PAUSE_MS = 2000;
const MAX_PAUSE_FACTOR = 3;
/** Every third caller holds answers of the directory three times as long as they allow. */
const LATE_CALLERS = 3;
const LATE_HOLD_FACTOR = 3;
/** Processes are started so many at a time, so that they do not delay each other. */
const START_BATCH = 4;
const START_TIMEOUT_MS = 30_000;
const POLL_MS = 50;
const SETTLE_MS = 3000;
const OK_STATUS = 200;
const MS_PER_SECOND = 1000;

function splitIntoBatches<Item>(
  items: readonly Item[],
  size: number,
): readonly (readonly Item[])[] {
  return items.length === 0
    ? []
    : [items.slice(0, size), ...splitIntoBatches(items.slice(size), size)];
}

function getDataCentre(index: number): string {
  return `z${1 + (index % DATA_CENTRES)}`;
}

async function checkReady(address: string): Promise<boolean> {
  try {
    const reply = await fetch(`http://${address}:${GATEWAY_PORTS.readiness}/ready`);
    await reply.text();
    return reply.status === OK_STATUS;
  } catch {
    return false;
  }
}

export class GatewayStopExperiment {
  readonly #options: GatewayStopOptions;

  readonly #profile: Profile;

  readonly #random: RandomSource;

  readonly #store = new StoreStandIn();

  readonly #folder = mkdtempSync(join(tmpdir(), 'baobabline-gateway-stop-'));

  #daemons: readonly GatewayProcess[] = [];

  #instances: readonly InstanceStandIn[] = [];

  #callers: readonly DirectoryCaller[] = [];

  readonly #requests: (readonly CallerAttempt[])[] = [];

  #stops: readonly SeenStop[] = [];

  /** Resolves once the current process of a daemon has ended. */
  readonly #ends = new Map<GatewayProcess, Promise<void>>();

  /** Daemons that have been told to stop, or whose end is part of the experiment's. */
  readonly #stopping = new Set<GatewayProcess>();

  #ownEnds = 0;

  #requestCount = 0;

  #isOver = false;

  constructor(options: GatewayStopOptions) {
    this.#options = options;
    this.#profile = getProfile(options.profile);
    this.#random = createRandom(options.seed);
  }

  /** Runs the experiment. Ends only the processes that it started. */
  async measure(): Promise<GatewayStopFigures> {
    try {
      await this.#start();
      printProgress(`${this.#daemons.length} daemons serve`);
      const calls = this.#callers.map(async (caller) => this.#runCaller(caller));
      await wait(SETTLE_MS);
      await runInTurn(splitIntoBatches(this.#daemons, this.#options.together), async (batch) =>
        Promise.all(batch.map(async (daemon) => this.#replace(daemon))),
      );
      await wait(SETTLE_MS);
      this.#isOver = true;
      await Promise.all(calls);
    } finally {
      await this.#stop();
    }
    const runIds = new Set(
      this.#instances.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)),
    );
    return computeFigures({
      requests: this.#requests,
      stops: this.#stops,
      ownEnds: this.#ownEnds,
      runIds,
    });
  }

  #getAddress(index: number): string {
    return `${this.#options.addressPrefix}.${index + 1}`;
  }

  async #start(): Promise<void> {
    const storePort = await this.#store.listen(LOOPBACK);
    await this.#startInstances();
    this.#putConfiguration();
    this.#daemons = this.#createDaemons(storePort);
    await runInTurn(splitIntoBatches(this.#daemons, START_BATCH), async (batch) => {
      batch.forEach((daemon) => this.#launch(daemon));
      await Promise.all(batch.map(async (daemon) => this.#waitUntilReady(daemon)));
    });
    this.#callers = this.#createCallers();
  }

  async #startInstances(): Promise<void> {
    const works = new Map(this.#profile.kinds.map(({ name, work }) => [name, work]));
    const random = createRandom(this.#options.seed + 1);
    const rows = this.#profile.services.flatMap((service) =>
      Array.from({ length: service.upstreams }, (_, index) => ({ service, index })),
    );
    this.#instances = await Promise.all(
      rows.map(async ({ service: { name, slots }, index }) => {
        const instance = new InstanceStandIn({
          id: `${name}-${index + 1}`,
          slots,
          workMs: (url) => {
            const work = works.get(url.split('/')[1] ?? '');
            return work ? drawWorkMs(random, work) : 0;
          },
        });
        await instance.listen(LOOPBACK);
        const entry = buildStoreEntry(name, `${LOOPBACK}:${instance.port}`, {
          slots,
          dataCentre: getDataCentre(index),
        });
        this.#store.put(`servers/${instance.id}`, entry);
        return instance;
      }),
    );
  }

  #putConfiguration(): void {
    const routes = this.#profile.kinds.map(({ name, isSafe, service, routeTimeoutMs }) => ({
      prefix: `/${name}/`,
      kind: isSafe ? ('safe' as const) : ('unsafe' as const),
      service,
      timeoutSeconds: routeTimeoutMs / MS_PER_SECOND,
    }));
    this.#store.put('op/config', buildStoreConfiguration(1, HOST, routes));
  }

  #createDaemons(storePort: number): readonly GatewayProcess[] {
    const { processes, program } = this.#options;
    const addresses = Array.from({ length: processes }, (_, index) => this.#getAddress(index));
    return addresses.map(
      (address, index) =>
        new GatewayProcess({
          program,
          folder: this.#folder,
          id: `vm-${index}`,
          dataCentre: getDataCentre(index),
          address,
          seeds: addresses.slice(0, SEEDS),
          storePort,
          stopGraceSeconds: STOP_GRACE_SECONDS,
        }),
    );
  }

  #createCallers(): readonly DirectoryCaller[] {
    const { freshPart, seed, ratePerSecond = this.#profile.ratePerSecond } = this.#options;
    const count = Math.ceil((ratePerSecond * CALLER_PAUSE_MS) / MS_PER_SECOND);
    return Array.from({ length: count }, (_, index) => {
      const dataCentre = getDataCentre(index);
      const near = this.#daemons.filter(({ settings }) => settings.dataCentre === dataCentre);
      const far = this.#daemons.filter(({ settings }) => settings.dataCentre !== dataCentre);
      return new DirectoryCaller({
        host: HOST,
        dataCentre,
        directories: [...near, ...far].map(({ settings }) => settings.address),
        holdFactor: index % LATE_CALLERS === 0 ? LATE_HOLD_FACTOR : 1,
        keepsConnection: this.#random.next() >= freshPart,
        random: createRandom(seed * count + index),
      });
    });
  }

  #launch(daemon: GatewayProcess): void {
    const end = new Promise<void>((resolve) => {
      daemon.start(() => {
        if (!this.#stopping.has(daemon)) this.#ownEnds += 1;
        resolve();
      });
    });
    this.#ends.set(daemon, end);
  }

  async #waitUntilReady({ settings }: GatewayProcess): Promise<void> {
    const until = performance.now() + START_TIMEOUT_MS;
    const poll = async (): Promise<void> => {
      if (await checkReady(settings.address)) return;
      if (performance.now() > until) throw new Error(`${settings.id} does not serve`);
      await wait(POLL_MS);
      await poll();
    };
    await poll();
  }

  /** One caller: it goes on until the experiment is over. */
  async #runCaller(caller: DirectoryCaller): Promise<void> {
    const pause = Math.min(MAX_PAUSE_FACTOR, -Math.log(1 - this.#random.next()));
    await wait(pause * CALLER_PAUSE_MS);
    if (this.#isOver) return;
    this.#requestCount += 1;
    const kind = drawKind(this.#random, this.#profile.kinds);
    const attempts = await caller.send({
      id: `r-${this.#options.seed}-${this.#requestCount}`,
      method: kind.method,
      path: `/${kind.name}/${this.#requestCount}`,
      bodyBytes: kind.bodyBytes,
      isSafe: kind.isSafe,
      timeLimitMs: kind.deadlineMs,
    });
    this.#requests.push(attempts);
    await this.#runCaller(caller);
  }

  /** Stops a daemon as the platform does, and starts the next process once it is gone. */
  async #replace(daemon: GatewayProcess): Promise<void> {
    const signalAt = performance.now();
    let isKilled = false;
    const timer = setTimeout(() => {
      isKilled = true;
      daemon.sendSignal('SIGKILL');
    }, STOP_GRACE_SECONDS * MS_PER_SECOND);
    this.#stopping.add(daemon);
    daemon.sendSignal('SIGTERM');
    await this.#ends.get(daemon);
    this.#stopping.delete(daemon);
    clearTimeout(timer);
    const address = `${daemon.settings.address}:${GATEWAY_PORTS.front}`;
    this.#stops = [...this.#stops, { address, signalAt, exitAt: performance.now(), isKilled }];
    this.#launch(daemon);
    await this.#waitUntilReady(daemon);
    printProgress(`${daemon.settings.id} restarted`);
  }

  async #stop(): Promise<void> {
    this.#isOver = true;
    this.#daemons.forEach((daemon) => {
      this.#stopping.add(daemon);
      daemon.sendSignal('SIGKILL');
    });
    this.#callers.forEach((caller) => caller.close());
    await Promise.all(this.#instances.map(async (instance) => instance.close()));
    await this.#store.close();
    rmSync(this.#folder, { recursive: true });
  }
}
