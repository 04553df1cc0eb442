/**
 * The upstreams of a soak, each behind a proxy that disturbs its link, and their entries in the
 * store.
 */
import { HEADERS } from '@baobabline/platform';
import { buildStoreEntry, FaultProxy, InstanceStandIn, readQuery } from '@baobabline/stand-ins';
import type { InstanceFault, StoreStandIn } from '@baobabline/stand-ins';
import { setTimeout as wait } from 'node:timers/promises';

import type { SoakRecorder } from './recorder.js';
import type { Disturbance, SeenRun } from './types.js';

type Upstream = {
  readonly instance: InstanceStandIn;
  readonly proxy: FaultProxy;
};

export const SERVICE = 'desk';

const LOOPBACK = '127.0.0.1';
const SLOTS = 4;
const WORK_MS = 40;
/** An upstream serves on for a while after it has said that it leaves. */
const LEAVING_MS = 3500;
const LINK_DELAY_MS = 40;
/** Connections that fell silent stay so until the daemons give them up. */
const SILENCE_MS = 3000;
/** Requests with this in their path end the upstream that runs them, which is back after a while. */
export const CRASHING_PATH = '/read/crash';
const RESTART_MS = 1500;
/** Requests per second that the first upstreams take from the whole fleet. */
const RATE_LIMITS: readonly number[] = [2, 0.5];

const FAULTS: Readonly<Record<string, InstanceFault>> = {
  'instance-errors': 'errors',
  'instance-shed': 'shed',
  'instance-reset': 'reset',
  'instance-hang': 'hang',
  'instance-cut': 'unframed-cut',
  'instance-extra': 'late-extra',
};

export class SoakUpstreams {
  readonly #store: StoreStandIn;

  readonly #recorder: SoakRecorder;

  #current: readonly Upstream[] = [];

  #retired: readonly Upstream[] = [];

  #count = 0;

  #isClosed = false;

  constructor(store: StoreStandIn, recorder: SoakRecorder) {
    this.#store = store;
    this.#recorder = recorder;
  }

  async start(count: number): Promise<void> {
    await Promise.all(Array.from({ length: count }, async () => this.#add()));
  }

  /** Brings about a disturbance of an upstream or its link; false where it is none. */
  async apply({ kind, startMs, endMs, target }: Disturbance): Promise<boolean> {
    const upstream = this.#current[target % this.#current.length];
    const fault = FAULTS[kind];
    const lengthMs = endMs - startMs;
    if (!upstream) return false;
    if (fault) await this.#runFault(upstream, fault, lengthMs);
    else if (kind.startsWith('link')) await this.#runLinkFault(upstream, kind, lengthMs);
    else if (kind === 'replace') await Promise.all([this.#add(), this.#retire(upstream)]);
    else return false;
    return true;
  }

  /** Lets the first upstreams state a rate limit for a while. */
  async runRateLimits(lengthMs: number): Promise<void> {
    const limited = this.#current.slice(0, RATE_LIMITS.length).map(({ instance }) => instance);
    limited.forEach((instance, index) => {
      const perSecond = RATE_LIMITS[index] ?? 0;
      instance.setExtraHeaders({ [HEADERS.rateLimit]: String(perSecond) });
      const fromMs = this.#recorder.now;
      const toMs = fromMs + lengthMs;
      this.#recorder.add('limits', { instance: instance.id, perSecond, fromMs, toMs });
    });
    await wait(lengthMs);
    limited.forEach((instance) => instance.setExtraHeaders({}));
  }

  /** Upstreams write their entries again after the store has lost some. */
  writeAgain(): void {
    this.#current.forEach((upstream) => this.#putEntry(upstream, 'ready'));
    this.#retired.forEach(({ instance }) => this.#store.remove(`servers/${instance.id}`));
  }

  listRuns(): readonly SeenRun[] {
    return [...this.#current, ...this.#retired].flatMap(({ instance }) =>
      instance.runs.map(({ startedAt, endedAt, ...run }) => ({
        requestId: run.requestId,
        instance: instance.id,
        atMs: this.#recorder.toSoakTime(startedAt),
        endMs: this.#recorder.toSoakTime(endedAt ?? Number.POSITIVE_INFINITY),
        bodyBytes: run.bodyBytes,
        account: run.account,
        hasCredentials: run.hasCredentials,
        fault: run.fault,
      })),
    );
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    const all = [...this.#current, ...this.#retired];
    await Promise.all(all.map(async ({ instance }) => instance.close()));
    await Promise.all(all.map(async ({ proxy }) => proxy.stop()));
  }

  #putEntry({ instance, proxy }: Upstream, state: 'ready' | 'draining'): void {
    const entry = buildStoreEntry(SERVICE, `${LOOPBACK}:${proxy.port}`, { state, slots: SLOTS });
    this.#store.put(`servers/${instance.id}`, entry);
  }

  async #add(): Promise<void> {
    this.#count += 1;
    const id = `i-${this.#count}`;
    const instance = new InstanceStandIn({
      id,
      workMs: (url) => readQuery(url, 'work') ?? WORK_MS,
      slots: SLOTS,
      isCrashing: (url) => url.includes(CRASHING_PATH),
      onCrash: () => {
        this.#replaceCrashed(id).catch(() => undefined);
      },
    });
    await instance.listen(LOOPBACK);
    const proxy = new FaultProxy({ address: LOOPBACK, port: instance.port });
    await proxy.start();
    const upstream = { instance, proxy };
    this.#putEntry(upstream, 'ready');
    this.#current = [...this.#current, upstream];
  }

  /** Another start of a crashed upstream comes after a while, with another id and port. */
  async #replaceCrashed(id: string): Promise<void> {
    const upstream = [...this.#current, ...this.#retired].find((one) => one.instance.id === id);
    if (!upstream) return;
    this.#current = this.#current.filter((one) => one !== upstream);
    if (!this.#retired.includes(upstream)) this.#retired = [...this.#retired, upstream];
    await upstream.proxy.stop();
    await wait(RESTART_MS);
    if (this.#isClosed) return;
    this.#store.remove(`servers/${id}`);
    await this.#add();
  }

  async #retire(upstream: Upstream): Promise<void> {
    this.#current = this.#current.filter((one) => one !== upstream);
    this.#retired = [...this.#retired, upstream];
    const { id } = upstream.instance;
    this.#putEntry(upstream, 'draining');
    this.#recorder.add('leavings', { instance: id, atMs: this.#recorder.now });
    await wait(LEAVING_MS);
    // It goes on listening, so that requests which it should not get any more are seen.
    this.#store.remove(`servers/${id}`);
  }

  async #runFault({ instance }: Upstream, fault: InstanceFault, lengthMs: number): Promise<void> {
    instance.setFault(fault);
    await wait(lengthMs);
    instance.setFault(undefined);
  }

  async #runLinkFault(
    { instance, proxy }: Upstream,
    kind: string,
    lengthMs: number,
  ): Promise<void> {
    const fromMs = this.#recorder.now;
    const lastMs = kind === 'link-silent' ? Math.max(lengthMs, SILENCE_MS) : lengthMs;
    const toMs = fromMs + (kind === 'link-reset' ? 0 : lastMs);
    this.#recorder.add('links', { instance: instance.id, kind, fromMs, toMs });
    if (kind === 'link-reset') proxy.reset();
    if (kind === 'link-silent') proxy.silence();
    if (kind === 'link-delay') proxy.setDelay(LINK_DELAY_MS);
    if (kind === 'link-one-way') proxy.setFault('backward', 'drop');
    await wait(lengthMs);
    proxy.setDelay(0);
    proxy.setFault('backward', 'none');
  }
}
