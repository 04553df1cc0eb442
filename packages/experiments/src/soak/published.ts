/**
 * What is published in a soak: the store with its troubles, and configurations whose versions show in
 * routes of their own.
 */
import { buildStoreConfiguration, StoreStandIn } from '@baobabline/stand-ins';
import type { PublishedRoute, StoreCopy, StoreMode } from '@baobabline/stand-ins';
import { setTimeout as wait } from 'node:timers/promises';

import { buildAccounts } from './accounts.js';
import { HOST } from './callers.js';
import type { SoakRecorder } from './recorder.js';
import type { Disturbance } from './types.js';
import { SERVICE } from './upstreams.js';

export const ROUTE_TIMEOUT_SECONDS = 2.5;

/** The store is copied this often, and comes back from a copy that is up to some seconds old. */
const COPY_INTERVAL_MS = 250;
const MAX_COPY_AGE_MS = 9000;
/** What a restore has lost is written again within this time. */
const REWRITE_MS = 1500;

const STORE_MODES: Readonly<Record<string, StoreMode>> = {
  'store-down': 'down',
  'store-busy': 'busy',
  'store-slow': 'slow',
  'store-silent': 'silent',
};

export class SoakStore {
  readonly server = new StoreStandIn();

  readonly #recorder: SoakRecorder;

  #version = 0;

  /** Undefined as long as the key stands in the configuration. */
  #keyRemovedMs: number | undefined;

  readonly #hasAccounts: boolean;

  #copies: readonly { readonly atMs: number; readonly copy: StoreCopy }[] = [];

  #isOver = false;

  constructor(recorder: SoakRecorder, hasAccounts: boolean) {
    this.#recorder = recorder;
    this.#hasAccounts = hasAccounts;
  }

  /** When the removal of a key was accepted; infinite before. */
  get keyRemovedMs(): number {
    return this.#keyRemovedMs ?? Number.POSITIVE_INFINITY;
  }

  /** Publishes a configuration in which an account has lost its key. */
  removeKey(): void {
    if (!this.#hasAccounts) return;
    this.#keyRemovedMs = this.#recorder.now;
    this.publish();
    this.#keyRemovedMs = this.#recorder.now;
  }

  get version(): number {
    return this.#version;
  }

  /** Each version has a route of its own, so that it shows which one is in force. */
  publish(): void {
    this.#version += 1;
    this.server.put('op/config', this.#buildConfiguration());
    this.#recorder.add('published', { version: this.#version, atMs: this.#recorder.now });
  }

  /** Takes copies until the end, from which the store can be restored. */
  async runCopies(): Promise<void> {
    if (this.#isOver) return;
    const atMs = this.#recorder.now;
    this.#copies = [
      ...this.#copies.filter((one) => one.atMs > atMs - MAX_COPY_AGE_MS),
      { atMs, copy: this.server.takeCopy() },
    ];
    await wait(COPY_INTERVAL_MS);
    await this.runCopies();
  }

  /** Brings about a disturbance of the store or a new configuration; false where it is none. */
  async apply(
    { kind, startMs, endMs, target }: Disturbance,
    writeAgain: () => void,
  ): Promise<boolean> {
    const lengthMs = endMs - startMs;
    const mode = STORE_MODES[kind];
    if (kind === 'configuration') this.publish();
    else if (kind === 'history-lost') this.server.dropHistory();
    else if (kind === 'store-restored') {
      await this.#restore(target, lengthMs);
      this.server.put('op/config', this.#buildConfiguration());
      writeAgain();
    } else if (mode) {
      this.server.setMode(mode);
      await wait(lengthMs);
      this.server.setMode('up');
    } else return false;
    return true;
  }

  async close(): Promise<void> {
    this.#isOver = true;
    await this.server.close();
  }

  /** The store comes back from a copy; its writers need a while to notice. */
  async #restore(target: number, lengthMs: number): Promise<void> {
    this.server.setMode('down');
    await wait(lengthMs);
    const copy = this.#copies[target % this.#copies.length]?.copy;
    if (copy) this.server.restore(copy);
    // Copies of the lost span cannot come back.
    this.#copies = this.#copies.filter((one) => one.copy.revision <= (copy?.revision ?? 0));
    this.server.setMode('up');
    await wait(target % REWRITE_MS);
  }

  #buildConfiguration(): object {
    const build = (prefix: string, kind: PublishedRoute['kind']): PublishedRoute => ({
      prefix,
      kind,
      service: SERVICE,
      timeoutSeconds: ROUTE_TIMEOUT_SECONDS,
    });
    const routes = [
      build('/read/', 'safe'),
      build('/book/', 'unsafe'),
      build(`/v${this.#version}/`, 'safe'),
    ];
    const accounts = this.#hasAccounts
      ? buildAccounts(this.#keyRemovedMs !== undefined)
      : undefined;
    return buildStoreConfiguration(this.#version, HOST, routes, accounts);
  }
}
