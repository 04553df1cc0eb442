/**
 * A whole deployment on loopback: stand-ins for the platform and the upstreams in this process,
 * daemons as processes of their own.
 */
import type { Upstream } from '@baobabline/core';
import { FaultProxy, KeyValueService, UpstreamStandIn } from '@baobabline/stand-ins';

import type { Deployment, ServiceSize } from '../deployment/deployments.js';
import { DaemonProcess } from './daemon-process.js';
import type { DaemonSettings } from './daemon-process.js';
import { Load } from './load.js';
import type { LoadOptions } from './load.js';
import type { PartitionMesh } from './partition-mesh.js';

export type HarnessOptions = {
  readonly deployment: Deployment;
  readonly daemons: number;
  readonly seed: number;
  readonly coldMs?: number;
  readonly answerBytes?: number;
  /** Puts a fault-injecting proxy before every upstream. */
  readonly proxied?: boolean;
  /** Links between daemons that can be cut. */
  readonly mesh?: PartitionMesh;
  /** Settings that all daemons get besides the generated ones. */
  readonly settings?: Partial<DaemonSettings>;
};

const LOOPBACK = '127.0.0.1';
const SEED_DAEMONS = 3;
const PARALLEL_STARTS = 6;
const DEFAULT_ANSWER_BYTES = 200;
const UPSTREAM_CONNECTIONS = 330;

export async function waitFor(
  condition: () => boolean | Promise<boolean>,
  timeoutMs: number,
  what: string,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  const check = async (): Promise<void> => {
    if (await condition()) return;
    if (performance.now() > deadline) throw new Error(`Gave up waiting until ${what}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 25);
    });
    await check();
  };
  await check();
}

export class FleetHarness {
  readonly configuration = new KeyValueService();

  readonly vmListService = new KeyValueService();

  readonly options: HarnessOptions;

  #daemons: readonly DaemonProcess[] = [];

  #upstreams: readonly UpstreamStandIn[] = [];

  readonly #proxies = new Map<string, FaultProxy>();

  #listsVersion = 0;

  #vmListVersion = 0;

  #leaving: ReadonlySet<string> = new Set();

  constructor(options: HarnessOptions) {
    this.options = options;
  }

  get daemons(): readonly DaemonProcess[] {
    return this.#daemons;
  }

  /** Version of the lists published last. */
  get listsVersion(): number {
    return this.#listsVersion;
  }

  get upstreams(): readonly UpstreamStandIn[] {
    return this.#upstreams;
  }

  get seeds(): readonly { readonly address: string; readonly port: number }[] {
    return this.#daemons.slice(0, SEED_DAEMONS).map((daemon) => daemon.callerAddress);
  }

  async start(): Promise<void> {
    await Promise.all([this.configuration.start(), this.vmListService.start()]);
    await this.#startUpstreams();
    this.publishLists();
    this.publishVmList();
    await this.#startDaemons();
  }

  async stop(): Promise<void> {
    await Promise.all(this.#daemons.map((daemon) => daemon.kill()));
    await Promise.all(this.#upstreams.map((upstream) => upstream.crash().catch(() => undefined)));
    await Promise.all([...this.#proxies.values()].map((proxy) => proxy.stop()));
    await this.options.mesh?.stop();
    await Promise.all([this.configuration.stop(), this.vmListService.stop()]);
  }

  /** Creates load on this deployment; callers start from the first daemons. */
  createLoad(options: Omit<LoadOptions, 'deployment' | 'seeds' | 'seed'>): Load {
    const { deployment, seed } = this.options;
    return new Load({ deployment, seed, seeds: this.seeds, ...options });
  }

  /** Publishes the lists with the next version and returns it. */
  publishLists(): number {
    this.#listsVersion += 1;
    const { plans, customers } = this.options.deployment;
    const lists = { version: this.#listsVersion, plans, customers };
    this.configuration.publish('lists', JSON.stringify(lists));
    return this.#listsVersion;
  }

  /** Lets the next publication follow a version that was published by other means. */
  raiseListsVersion(version: number): void {
    this.#listsVersion = Math.max(this.#listsVersion, version);
  }

  publishVmList(): number {
    this.#vmListVersion += 1;
    const upstreams = this.#upstreams.map((upstream) => this.#buildUpstreamRow(upstream));
    const vmList = { version: this.#vmListVersion, upstreams, entryVms: [] };
    this.vmListService.publish('vm-list', JSON.stringify(vmList));
    return this.#vmListVersion;
  }

  /** Marks an upstream as leaving in the VM list. */
  retire(upstreamId: string): void {
    this.#leaving = new Set([...this.#leaving, upstreamId]);
    this.publishVmList();
  }

  /** Starts one more daemon and resolves once it listens. */
  async addDaemon(index: number, extra: Partial<DaemonSettings> = {}): Promise<DaemonProcess> {
    const daemon = await DaemonProcess.start(this.#buildSettings(index, extra));
    this.#daemons = [...this.#daemons, daemon];
    return daemon;
  }

  removeDaemon(daemon: DaemonProcess): void {
    this.#daemons = this.#daemons.filter((other) => other !== daemon);
  }

  findUpstream(id: string): UpstreamStandIn {
    return this.#upstreams.find(({ settings }) => settings.id === id) as UpstreamStandIn;
  }

  findProxy(upstreamId: string): FaultProxy {
    return this.#proxies.get(upstreamId) as FaultProxy;
  }

  async #startProxy(upstream: UpstreamStandIn): Promise<void> {
    const { id, address } = upstream.settings;
    const proxy = new FaultProxy({ address, port: upstream.port });
    await proxy.start();
    this.#proxies.set(id, proxy);
  }

  #buildUpstreamRow(upstream: UpstreamStandIn): Upstream {
    const { id, address, dataCentre, service, slots } = upstream.settings;
    const port = this.#proxies.get(id)?.port ?? upstream.port;
    const state = this.#leaving.has(id) ? 'leaving' : 'live';
    return {
      id,
      address,
      port,
      dataCentre,
      service,
      slots,
      connections: UPSTREAM_CONNECTIONS,
      state,
    };
  }

  async #startUpstreams(): Promise<void> {
    this.#upstreams = this.options.deployment.services.flatMap((size, index) =>
      this.#createUpstreams(size, index),
    );
    await Promise.all(this.#upstreams.map((upstream) => upstream.start()));
    if (this.options.proxied !== true) return;
    await Promise.all(this.#upstreams.map((upstream) => this.#startProxy(upstream)));
  }

  #createUpstreams(size: ServiceSize, serviceIndex: number): readonly UpstreamStandIn[] {
    const { deployment, seed, coldMs = 0, answerBytes = DEFAULT_ANSWER_BYTES } = this.options;
    const { dataCentres } = deployment;
    return Array.from(
      { length: size.instances },
      (_, index) =>
        new UpstreamStandIn({
          id: `${size.service}-${index}`,
          service: size.service,
          dataCentre: dataCentres[index % dataCentres.length] as string,
          address: LOOPBACK,
          slots: size.slots,
          seed: seed * 1000 + serviceIndex * 100 + index,
          kinds: size.kinds,
          coldMs,
          answerBytes,
        }),
    );
  }

  async #startDaemons(): Promise<void> {
    const indexes = Array.from({ length: this.options.daemons }, (_, index) => index);
    await this.#startInTurn(indexes.slice(0, SEED_DAEMONS), 1);
    await this.#startInTurn(indexes.slice(SEED_DAEMONS), PARALLEL_STARTS);
    await Promise.all(this.#daemons.map((daemon) => daemon.waitForEvent('serving')));
    await waitFor(() => this.#seesAll(), 30_000, 'all daemons see the whole fleet');
  }

  async #startInTurn(indexes: readonly number[], batchSize: number): Promise<void> {
    if (indexes.length === 0) return;
    await Promise.all(indexes.slice(0, batchSize).map((index) => this.addDaemon(index)));
    await this.#startInTurn(indexes.slice(batchSize), batchSize);
  }

  async #seesAll(): Promise<boolean> {
    const counts = await Promise.all(
      this.#daemons.map(async (daemon) => {
        const status = await daemon.readStatus();
        return status.members.filter(({ state }) => state === 'serving').length;
      }),
    );
    return counts.every((count) => count === this.#daemons.length);
  }

  #buildSettings(index: number, extra: Partial<DaemonSettings>): DaemonSettings {
    const { dataCentres } = this.options.deployment;
    return {
      id: `entry-${index}`,
      dataCentre: dataCentres[index % dataCentres.length] as string,
      seeds: this.#daemons.slice(0, SEED_DAEMONS).map((daemon) => daemon.peerAddress),
      configurationService: { address: LOOPBACK, port: this.configuration.port },
      vmListService: { address: LOOPBACK, port: this.vmListService.port },
      ...this.options.settings,
      ...this.options.mesh?.buildSettings(index),
      ...extra,
    };
  }
}
