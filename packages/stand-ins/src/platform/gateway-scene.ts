/**
 * One gateway as a real process, its store and a caller, for tests that bring upstreams of their own.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { GATEWAY_PORTS, GatewayProcess } from './gateway-process.js';
import { waitUntilMet } from './stop-scene.js';
import { buildStoreConfiguration, buildStoreEntry } from './store-records.js';
import type { PublishedRoute } from './store-records.js';
import { StoreStandIn } from './store-stand-in.js';
import { WireCaller } from './wire-caller.js';
import type { WireReply } from './wire-caller.js';

export type GatewaySceneSettings = {
  /** The program: a script for Node. */
  readonly program: string;
  /** Address of the gateway. */
  readonly address: string;
  readonly routes: readonly PublishedRoute[];
  /** How long the caller waits for an answer. */
  readonly timeLimitMs: number;
  /** Arguments for Node itself. */
  readonly nodeArguments?: readonly string[];
};

/** An upstream of the test, which listens on the loopback address. */
type SceneUpstream = { readonly id: string; readonly port: number };

const HOST = 'shop.example';
const STOP_GRACE_SECONDS = 3;
const VERSION = 3;
const OK_STATUS = 200;

export class GatewayScene {
  /** Where the upstreams of a scene listen. */
  static readonly upstreamAddress = '127.0.0.1';

  readonly store = new StoreStandIn();

  readonly #settings: GatewaySceneSettings;

  readonly #caller = new WireCaller();

  readonly #folder = mkdtempSync(join(tmpdir(), 'baobabline-scene-'));

  #gateway: GatewayProcess | undefined;

  #requestCount = 0;

  constructor(settings: GatewaySceneSettings) {
    this.#settings = settings;
  }

  /** The gateway, once it is started. */
  get gateway(): GatewayProcess | undefined {
    return this.#gateway;
  }

  /** Publishes an upstream, or a change of one. */
  putUpstream(
    service: string,
    { id, port }: SceneUpstream,
    changes: Parameters<typeof buildStoreEntry>[2] = {},
  ): void {
    const endpoint = `${GatewayScene.upstreamAddress}:${port}`;
    this.store.put(`servers/${id}`, buildStoreEntry(service, endpoint, changes));
  }

  removeUpstream({ id }: SceneUpstream): void {
    this.store.remove(`servers/${id}`);
  }

  /** Starts the gateway; resolves once a request to the path is served. */
  async start(path: string): Promise<void> {
    const { program, address, routes, nodeArguments = [] } = this.#settings;
    this.store.put('op/config', buildStoreConfiguration(VERSION, HOST, routes));
    this.#gateway = new GatewayProcess({
      program,
      folder: this.#folder,
      id: 'vm-1',
      dataCentre: 'z1',
      address,
      seeds: [address],
      storePort: await this.store.listen(GatewayScene.upstreamAddress),
      stopGraceSeconds: STOP_GRACE_SECONDS,
      nodeArguments,
    });
    this.#gateway.start(() => undefined);
    await waitUntilMet(
      `${path} is served`,
      async () => (await this.send(path)).status === OK_STATUS,
    );
  }

  async send(path: string, method: 'GET' | 'POST' = 'GET'): Promise<WireReply> {
    this.#requestCount += 1;
    const { address, timeLimitMs } = this.#settings;
    return this.#caller.send({
      id: `q-${this.#requestCount}`,
      address,
      port: GATEWAY_PORTS.front,
      host: HOST,
      path,
      method,
      timeLimitMs,
    });
  }

  /** Kills the gateway and frees everything that the scene has opened. */
  async close(): Promise<void> {
    this.#gateway?.sendSignal('SIGKILL');
    this.#caller.close();
    await this.store.close();
    rmSync(this.#folder, { recursive: true });
  }
}
