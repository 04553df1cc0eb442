/**
 * A small deployment for tests of requests that crash upstreams: a store, daemons as real processes,
 * and upstreams that end when they run a request whose path contains `crash`, or when the test says
 * so. An upstream that ended comes back after a while as another start with another id and port.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';

import { GATEWAY_PORTS, GatewayProcess } from './gateway-process.js';
import { InstanceStandIn } from './instance-stand-in.js';
import type { InstanceRun } from './instance-stand-in.js';
import { waitUntilMet } from './stop-scene.js';
import { buildStoreConfiguration, buildStoreEntry } from './store-records.js';
import { StoreStandIn } from './store-stand-in.js';
import { WireCaller } from './wire-caller.js';
import type { WireReply } from './wire-caller.js';

export type CrashSceneSettings = {
  /** The program: a script for Node. */
  readonly program: string;
  /** Addresses of the daemons, by data centre. */
  readonly dataCentres: Readonly<Record<string, readonly string[]>>;
  readonly upstreams: number;
  readonly workMs: number;
  /** Arguments for Node itself, by the port of the store. */
  readonly buildNodeArguments?: (storePort: number) => readonly string[];
};

/** The end of an upstream while it ran a request that crashes it, in `performance.now()` time. */
export type SceneCrash = { readonly instance: string; readonly at: number };

export type SceneReply = WireReply & { readonly id: string };

const HOST = 'crash.example';
const SERVICE = 'desk';
const LOOPBACK = '127.0.0.1';
const SLOTS = 4;
const TIMEOUT_SECONDS = 1.5;
const STOP_GRACE_SECONDS = 3;
const RESTART_MS = 2000;
const OK_STATUS = 200;
const CRASH_PATTERN = /crash/;

export class CrashScene {
  readonly #settings: CrashSceneSettings;

  readonly #store = new StoreStandIn();

  readonly #caller = new WireCaller();

  readonly #folder = mkdtempSync(join(tmpdir(), 'baobabline-crashes-'));

  #daemons: readonly GatewayProcess[] = [];

  #current: readonly InstanceStandIn[] = [];

  #ended: readonly InstanceStandIn[] = [];

  #crashes: readonly SceneCrash[] = [];

  #instanceCount = 0;

  #requestCount = 0;

  #isClosed = false;

  constructor(settings: CrashSceneSettings) {
    this.#settings = settings;
  }

  /** Ends of upstreams by the requests that they ran, in order. */
  get crashes(): readonly SceneCrash[] {
    return this.#crashes;
  }

  get addresses(): readonly string[] {
    return Object.values(this.#settings.dataCentres).flat();
  }

  /** Ids of the upstreams that run. */
  get upstreams(): readonly string[] {
    return this.#current.map(({ id }) => id);
  }

  /** What the daemons have logged, as text. */
  logs = '';

  /** Starts everything; resolves once all daemons serve. */
  async start(): Promise<void> {
    const { upstreams, dataCentres, program, buildNodeArguments = () => [] } = this.#settings;
    const storePort = await this.#store.listen(LOOPBACK);
    await Promise.all(Array.from({ length: upstreams }, async () => this.#addUpstream()));
    const routes = (['safe', 'unsafe'] as const).map((kind) => ({
      prefix: `/${kind}/`,
      kind,
      service: SERVICE,
      timeoutSeconds: TIMEOUT_SECONDS,
    }));
    this.#store.put('op/config', buildStoreConfiguration(2, HOST, routes));
    this.#daemons = Object.entries(dataCentres).flatMap(([dataCentre, addresses]) =>
      addresses.map(
        (address, index) =>
          new GatewayProcess({
            program,
            folder: this.#folder,
            id: `${dataCentre}-${index + 1}`,
            dataCentre,
            address,
            seeds: Object.values(dataCentres).map(([first = '']) => first),
            storePort,
            stopGraceSeconds: STOP_GRACE_SECONDS,
            nodeArguments: buildNodeArguments(storePort),
            onLog: (text) => {
              this.logs += text;
            },
          }),
      ),
    );
    this.#daemons.forEach((daemon) => daemon.start(() => undefined));
    await Promise.all(this.#daemons.map(async (_, daemon) => this.#waitUntilServing(daemon)));
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    this.#daemons.forEach((daemon) => daemon.sendSignal('SIGKILL'));
    this.#caller.close();
    await Promise.all([this.#store.close(), ...this.#current.map(async (one) => one.close())]);
    rmSync(this.#folder, { recursive: true });
  }

  /** Sends one request to a daemon; resolves in any case. */
  async send(
    daemon: number,
    method: 'GET' | 'POST',
    path: string,
    timeLimitMs = 2000,
  ): Promise<SceneReply> {
    this.#requestCount += 1;
    const id = `q-${this.#requestCount}`;
    const reply = await this.#caller.send({
      id,
      address: this.addresses[daemon % this.addresses.length] ?? '',
      port: GATEWAY_PORTS.front,
      host: HOST,
      method,
      path,
      timeLimitMs,
    });
    return { ...reply, id };
  }

  /** Ends upstreams at the same moment, whatever they run. */
  async crashUpstreams(count: number): Promise<void> {
    const struck = this.#current.slice(0, count);
    await Promise.all(struck.map(async (instance) => this.#replace(instance)));
  }

  /** Runs of the requests whose path contains a text. */
  listRuns(text: string): readonly InstanceRun[] {
    return [...this.#current, ...this.#ended]
      .flatMap(({ runs }) => runs)
      .filter(({ url }) => url.includes(text));
  }

  sendSignal(daemon: number, signal: NodeJS.Signals): void {
    this.#daemons[daemon]?.sendSignal(signal);
  }

  /** Asks a daemon's directory; returns the daemons that it names to callers of a data centre. */
  async fetchNamed(daemon: number, dataCentre: string): Promise<readonly number[]> {
    const address = this.addresses[daemon] ?? '';
    const query = new URLSearchParams({ name: HOST, zone: dataCentre });
    const url = `http://${address}:${GATEWAY_PORTS.directory}/resolve?${query}`;
    const answer = (await (await fetch(url)).json()) as { readonly addresses: readonly string[] };
    return answer.addresses.map((named) => this.addresses.indexOf(named.split(':')[0] ?? ''));
  }

  /** Kills a daemon and starts it again; resolves once it serves. */
  async replaceDaemon(daemon: number): Promise<void> {
    const process = this.#daemons[daemon];
    process?.sendSignal('SIGKILL');
    await waitUntilMet('the end of a daemon', () => process?.isRunning !== true);
    process?.start(() => undefined);
    await this.#waitUntilServing(daemon);
  }

  async #waitUntilServing(daemon: number): Promise<void> {
    await waitUntilMet('a served request', async () => {
      const { status } = await this.send(daemon, 'GET', '/safe/ready', 500);
      return status === OK_STATUS;
    });
  }

  async #addUpstream(): Promise<void> {
    this.#instanceCount += 1;
    const id = `i-${this.#instanceCount}`;
    const instance = new InstanceStandIn({
      id,
      workMs: this.#settings.workMs,
      slots: SLOTS,
      isCrashing: (url) => CRASH_PATTERN.test(url),
      onCrash: () => {
        this.#crashes = [...this.#crashes, { instance: id, at: performance.now() }];
        this.#replace(instance).catch(() => undefined);
      },
    });
    await instance.listen(LOOPBACK);
    this.#current = [...this.#current, instance];
    const endpoint = `${LOOPBACK}:${instance.port}`;
    const bornAt = Date.now();
    this.#store.put(`servers/${id}`, buildStoreEntry(SERVICE, endpoint, { slots: SLOTS, bornAt }));
  }

  /** Ends an upstream; its entry goes and another start of it comes after a while. */
  async #replace(instance: InstanceStandIn): Promise<void> {
    this.#current = this.#current.filter((one) => one !== instance);
    this.#ended = [...this.#ended, instance];
    await instance.close().catch(() => undefined);
    await wait(RESTART_MS);
    if (this.#isClosed) return;
    this.#store.remove(`servers/${instance.id}`);
    await this.#addUpstream();
  }
}
