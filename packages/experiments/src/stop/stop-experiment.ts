/**
 * Planned stops under load: every daemon is restarted in turn and a third of the upstreams retire
 * and come back. Counts requests that a stop cut and how long a leaving upstream still got work.
 */
import type { UpstreamStandIn } from '@baobabline/stand-ins';

import { getDeployment } from '../deployment/deployments.js';
import type { DaemonProcess } from '../harness/daemon-process.js';
import { FleetHarness } from '../harness/fleet-harness.js';
import type { Load } from '../harness/load.js';
import { printProgress, runInTurn, wait } from '../runner/report.js';

export type StopOptions = {
  readonly seed: number;
  readonly daemons: number;
  readonly ratePerSecond: number;
  /** Daemons that are restarted at the same time. */
  readonly together: number;
};

export type StopFigures = {
  readonly stops: number;
  readonly cutRequests: number;
  readonly newWorkAfterLeavingMs: number;
  readonly stopSecondsMax: number;
  readonly refused: number;
  readonly sent: number;
  readonly answered: number;
};

const DEADLINE_MS = 4000;
const BOOK_SHARE = 0.3;
const CLIENTS = 40;
const SETTLE_MS = 1500;
const RETIRE_MS = 2500;

export class StopExperiment {
  readonly #options: StopOptions;

  readonly #harness: FleetHarness;

  #stopSeconds: readonly number[] = [];

  constructor(options: StopOptions) {
    this.#options = options;
    this.#harness = new FleetHarness({
      deployment: getDeployment('agnirakshak'),
      daemons: options.daemons,
      seed: options.seed,
      settings: {
        entryHoldSeconds: 1,
        keyLifeSeconds: 6,
        logs: { level: 'info', decisionSampling: 0 },
      },
    });
  }

  async measure(): Promise<StopFigures> {
    await this.#harness.start();
    printProgress(`${this.#options.daemons} daemons serve`);
    try {
      const load = this.#createLoad();
      load.start();
      await wait(SETTLE_MS);
      const newWorkAfterLeavingMs = await this.#retireUpstreams();
      await this.#replaceDaemons(this.#harness.daemons);
      await wait(SETTLE_MS);
      await load.stop();
      printProgress(`codes of cut requests: ${this.#listCutCodes(load).join(', ')}`);
      const { unknown, cutShort, crossed, notRun, sent, answered } = load.counts;
      return {
        stops: this.#stopSeconds.length,
        cutRequests: unknown + cutShort + crossed,
        newWorkAfterLeavingMs,
        stopSecondsMax: Math.max(...this.#stopSeconds),
        refused: notRun,
        sent,
        answered,
      };
    } finally {
      await this.#harness.stop();
    }
  }

  #listCutCodes({ outcomes }: Load): readonly number[] {
    return outcomes.filter(({ kind }) => kind === 'unknown').map(({ code }) => code);
  }

  #createLoad(): Load {
    return this.#harness.createLoad({
      clients: CLIENTS,
      getRate: () => this.#options.ratePerSecond,
      bookShare: BOOK_SHARE,
      deadlineMs: DEADLINE_MS,
    });
  }

  async #replaceDaemons(daemons: readonly DaemonProcess[]): Promise<void> {
    const batch = daemons.slice(0, this.#options.together);
    if (batch.length === 0) return;
    await Promise.all(batch.map((daemon) => this.#replace(daemon)));
    await this.#replaceDaemons(daemons.slice(this.#options.together));
  }

  /** Replaces a daemon by a new process at the same addresses. */
  async #replace(daemon: DaemonProcess): Promise<void> {
    const startedAt = performance.now();
    await daemon.stop();
    this.#stopSeconds = [...this.#stopSeconds, (performance.now() - startedAt) / 1000];
    this.#harness.removeDaemon(daemon);
    const { callers, peers, operators } = daemon.ports;
    const address = '127.0.0.1';
    const next = await this.#harness.addDaemon(Number(daemon.id.replace('entry-', '')), {
      callers: { address, port: callers },
      peers: { address, port: peers },
      operators: { address, port: operators },
    });
    await next.waitForEvent('serving');
    printProgress(`${daemon.id} restarted`);
  }

  /** Retires a third of the upstreams, some by the VM list and some by their own word. */
  async #retireUpstreams(): Promise<number> {
    const leaving = this.#harness.upstreams.filter((_, index) => index % 3 === 0);
    const latest = await runInTurn([leaving.slice(0, 4), leaving.slice(4)], async (group) => {
      const startedAt = Date.now();
      group.forEach((upstream, index) => {
        if (index % 2 === 0) this.#harness.retire(upstream.settings.id);
        else upstream.drain();
      });
      await wait(RETIRE_MS);
      return Math.max(0, ...group.map((upstream) => this.#findLastWork(upstream) - startedAt));
    });
    return Math.max(...latest);
  }

  #findLastWork(upstream: UpstreamStandIn): number {
    return upstream.arrivals.at(-1)?.at ?? 0;
  }
}
