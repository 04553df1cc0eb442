/**
 * A small deployment for tests of planned stops: a store, upstreams with one service, and daemons as
 * real processes on addresses of their own. Every request that is sent is listed with its outcome, so
 * that a request that was passed on and ended without an answer can be found.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';

import { GATEWAY_PORTS, GatewayProcess } from './gateway-process.js';
import { InstanceStandIn } from './instance-stand-in.js';
import { buildStoreConfiguration, buildStoreEntry } from './store-records.js';
import type { PublishedRoute } from './store-records.js';
import { StoreStandIn } from './store-stand-in.js';
import { WireCaller } from './wire-caller.js';
import type { WireReply } from './wire-caller.js';

export type StopSceneSettings = {
  /** The program: a script for Node. */
  readonly program: string;
  /** Addresses of the daemons. */
  readonly addresses: readonly string[];
  /** Addresses of other members of the fleet, which are no daemons of this scene. */
  readonly peers?: readonly string[];
  readonly stopGraceSeconds: number;
  /** How long the upstreams work on a request. */
  readonly workMs: number;
  /** Time that the routes allow. */
  readonly timeoutSeconds?: number;
  readonly slots?: number;
};

export type SceneRequest = {
  readonly id: string;
  readonly kind?: 'safe' | 'unsafe';
  readonly timeLimitMs: number;
  readonly daemon?: number;
  /** The caller whose connections are used; by default a new one. */
  readonly caller?: WireCaller;
};

/** How a request ended at its caller, and whether an upstream ran it. */
export type SceneOutcome = {
  readonly id: string;
  /** 0 where the connection ended without a whole answer. */
  readonly status: number;
  readonly wasRun: boolean;
};

export type ProcessExit = { readonly code: number | null; readonly signal: string | null };

export const SCENE_HOST = 'stop.example';
const SERVICE = 'desk';
const STORE_ADDRESS = '127.0.0.1';
const UPSTREAM_ADDRESS = '127.0.21.200';
const UPSTREAMS = ['i-1', 'i-2'];
const POLL_MS = 10;
const OK_STATUS = 200;
const WAIT_TIMEOUT_MS = 15_000;
const READY_TIMEOUT_MS = 1000;
const DEFAULT_TIMEOUT_SECONDS = 10;
const DEFAULT_SLOTS = 32;

/** Waits until a condition holds. */
export async function waitUntilMet(
  what: string,
  isMet: () => boolean | Promise<boolean>,
): Promise<void> {
  const giveUpAt = performance.now() + WAIT_TIMEOUT_MS;
  const poll = async (): Promise<void> => {
    if (await isMet()) return;
    if (performance.now() > giveUpAt) throw new Error(`waited in vain: ${what}`);
    await wait(POLL_MS);
    await poll();
  };
  await poll();
}

function buildRoutes(timeoutSeconds: number): readonly PublishedRoute[] {
  return (['safe', 'unsafe'] as const).map((kind) => ({
    prefix: `/${kind}/`,
    kind,
    service: SERVICE,
    timeoutSeconds,
  }));
}

export class StopScene {
  readonly store = new StoreStandIn();

  readonly upstreams: readonly InstanceStandIn[];

  readonly #settings: StopSceneSettings;

  readonly #folder = mkdtempSync(join(tmpdir(), 'baobabline-stops-'));

  #daemons: readonly GatewayProcess[] = [];

  #exits: ReadonlyMap<number, Promise<ProcessExit>> = new Map();

  #configurationVersion = 1;

  constructor(settings: StopSceneSettings) {
    this.#settings = settings;
    this.upstreams = UPSTREAMS.map(
      (id) =>
        new InstanceStandIn({
          id,
          workMs: settings.workMs,
          slots: settings.slots ?? DEFAULT_SLOTS,
        }),
    );
  }

  get addresses(): readonly string[] {
    return this.#settings.addresses;
  }

  /** Opens the store and the upstreams, and publishes both. */
  async listen(): Promise<void> {
    const { addresses, peers = [], program, stopGraceSeconds } = this.#settings;
    const storePort = await this.store.listen(STORE_ADDRESS);
    await Promise.all(this.upstreams.map(async (one) => one.listen(UPSTREAM_ADDRESS)));
    this.upstreams.forEach((one) => this.putUpstream(one.id, 'ready'));
    this.putConfiguration();
    this.#daemons = addresses.map(
      (address, at) =>
        new GatewayProcess({
          program,
          folder: this.#folder,
          id: `edge-${at + 1}`,
          dataCentre: 'z1',
          address,
          seeds: [...addresses, ...peers],
          storePort,
          stopGraceSeconds,
        }),
    );
  }

  /** Opens the store and the upstreams, and starts all daemons until they serve. */
  async start(): Promise<void> {
    await this.listen();
    await Promise.all(this.addresses.map(async (_, at) => this.startDaemon(at)));
  }

  async close(): Promise<void> {
    this.#daemons.forEach((daemon) => daemon.sendSignal('SIGKILL'));
    await Promise.all(this.#exits.values());
    await Promise.all([this.store.close(), ...this.upstreams.map(async (one) => one.close())]);
    rmSync(this.#folder, { recursive: true });
  }

  putUpstream(id: string, state: 'ready' | 'draining'): void {
    const upstream = this.upstreams.find((one) => one.id === id);
    const endpoint = `${UPSTREAM_ADDRESS}:${upstream?.port ?? 0}`;
    const { slots = DEFAULT_SLOTS } = this.#settings;
    this.store.put(`servers/${id}`, buildStoreEntry(SERVICE, endpoint, { state, slots }));
  }

  /** Publishes the routes under the next version. */
  putConfiguration(): void {
    const { timeoutSeconds = DEFAULT_TIMEOUT_SECONDS } = this.#settings;
    this.#configurationVersion += 1;
    this.store.put(
      'op/config',
      buildStoreConfiguration(this.#configurationVersion, SCENE_HOST, buildRoutes(timeoutSeconds)),
    );
  }

  /** Starts the process of a daemon, without waiting for anything. */
  launchDaemon(daemon = 0): void {
    this.#exits = new Map(this.#exits).set(
      daemon,
      new Promise<ProcessExit>((resolve) => {
        this.#daemons[daemon]?.start((code, signal) => resolve({ code, signal }));
      }),
    );
  }

  /** Starts a daemon; resolves once it serves requests. */
  async startDaemon(daemon = 0): Promise<void> {
    this.launchDaemon(daemon);
    await waitUntilMet('readiness', async () => this.isReady(daemon));
    let count = 0;
    await waitUntilMet('upstreams', async () => {
      count += 1;
      const id = `warm-${daemon}-${count}`;
      return (await this.send({ id, daemon, timeLimitMs: 5000 })).status === OK_STATUS;
    });
  }

  sendSignal(signal: NodeJS.Signals, daemon = 0): void {
    this.#daemons[daemon]?.sendSignal(signal);
  }

  /** Resolves once a daemon's process has ended. */
  async waitForExit(daemon = 0): Promise<ProcessExit> {
    return this.#exits.get(daemon) ?? { code: null, signal: null };
  }

  /** Whether a daemon says that it is ready; undefined where it does not answer. */
  async askReadiness(daemon = 0): Promise<boolean | undefined> {
    return new Promise((resolve) => {
      const question = request({
        host: this.addresses[daemon],
        port: GATEWAY_PORTS.readiness,
        path: '/ready',
        agent: false,
        timeout: READY_TIMEOUT_MS,
      });
      question.once('timeout', () => question.destroy());
      question.once('error', () => resolve(undefined));
      question.once('response', (response) => {
        response.resume();
        resolve(response.statusCode === OK_STATUS);
      });
      question.end();
    });
  }

  async isReady(daemon = 0): Promise<boolean> {
    return (await this.askReadiness(daemon)) === true;
  }

  /** Resolves once a daemon has taken a signal to stop. */
  async waitUntilLeaving(daemon = 0): Promise<void> {
    await waitUntilMet('the stop', async () => !(await this.isReady(daemon)));
  }

  /** Ids of the requests that upstreams began, each as often as it was begun. */
  listRuns(): readonly string[] {
    return this.upstreams.flatMap(({ runs }) => runs.map(({ requestId }) => requestId));
  }

  /** Resolves once upstreams have begun a request. */
  async waitForRun(id: string): Promise<void> {
    await waitUntilMet(`the run of ${id}`, () => this.listRuns().includes(id));
  }

  /** Sends a request; resolves in any case. */
  async sendForReply({
    id,
    kind = 'unsafe',
    timeLimitMs,
    daemon = 0,
    caller,
  }: SceneRequest): Promise<WireReply> {
    const own = caller ?? new WireCaller();
    const reply = await own.send({
      id,
      address: this.addresses[daemon] ?? '',
      port: GATEWAY_PORTS.front,
      host: SCENE_HOST,
      method: kind === 'safe' ? 'GET' : 'POST',
      path: `/${kind}/${id}`,
      timeLimitMs,
    });
    if (!caller) own.close();
    return reply;
  }

  /** Sends a request, and tells how it ended. */
  async send(wire: SceneRequest): Promise<SceneOutcome> {
    const { status } = await this.sendForReply(wire);
    return { id: wire.id, status, wasRun: this.listRuns().includes(wire.id) };
  }
}

/** The requests that were passed on to an upstream and ended without an answer. */
export function listCut(outcomes: readonly SceneOutcome[]): readonly string[] {
  return outcomes.filter(({ status, wasRun }) => status === 0 && wasRun).map(({ id }) => id);
}
