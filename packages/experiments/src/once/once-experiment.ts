/**
 * At most once under failure: callers book and resend while daemons are killed, frozen and cut
 * off and upstreams crash. What ran is counted at the upstreams.
 */
import { createRandom } from '@baobabline/core';
import type { RandomSource } from '@baobabline/core';
import type { UpstreamStandIn } from '@baobabline/stand-ins';

import { getDeployment } from '../deployment/deployments.js';
import type { DaemonProcess } from '../harness/daemon-process.js';
import { FleetHarness } from '../harness/fleet-harness.js';
import type { Load, OperationOutcome } from '../harness/load.js';
import { printProgress, wait } from '../runner/report.js';

export type OnceOptions = {
  readonly seed: number;
  readonly daemons: number;
  readonly seconds: number;
  readonly ratePerSecond: number;
};

export type OnceFigures = {
  readonly sent: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Unknown outcomes that ended more than a deadline away from any disturbance. */
  readonly unknownInCalm: number;
  readonly ranTwice: number;
  readonly notRunButRan: number;
  readonly crossed: number;
  readonly cutShort: number;
  readonly disturbances: number;
};

type Disturbance = { readonly name: string; readonly run: () => Promise<void> };

const DEADLINE_MS = 3000;
const BOOK_SHARE = 0.7;
const CLIENTS = 50;
const SETTLE_MS = 2000;
const PAUSE_MS = 700;
const FREEZE_MS = 2500;
const CUT_MS = 2000;

export class OnceExperiment {
  readonly #options: OnceOptions;

  readonly #random: RandomSource;

  readonly #harness: FleetHarness;

  #disturbedAt: readonly number[] = [];

  constructor(options: OnceOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    this.#harness = new FleetHarness({
      deployment: getDeployment('agnirakshak'),
      daemons: options.daemons,
      seed: options.seed,
      proxied: true,
      settings: { entryHoldSeconds: 1, logs: { level: 'info', decisionSampling: 0 } },
    });
  }

  async measure(): Promise<OnceFigures> {
    await this.#harness.start();
    printProgress(`${this.#options.daemons} daemons serve`);
    try {
      const load = this.#createLoad();
      load.start();
      await wait(SETTLE_MS);
      await this.#runDisturbances(performance.now() + this.#options.seconds * 1000);
      await wait(SETTLE_MS);
      await load.stop();
      return this.#computeFigures(load);
    } finally {
      await this.#harness.stop();
    }
  }

  #createLoad(): Load {
    return this.#harness.createLoad({
      clients: CLIENTS,
      getRate: () => this.#options.ratePerSecond,
      bookShare: BOOK_SHARE,
      deadlineMs: DEADLINE_MS,
    });
  }

  async #runDisturbances(endsAt: number): Promise<void> {
    if (performance.now() >= endsAt) return;
    const choices = this.#listDisturbances();
    const pair = [0, 1].map(
      () => choices[Math.floor(this.#random.next() * choices.length)] as Disturbance,
    );
    printProgress(`disturb: ${pair.map(({ name }) => name).join(' and ')}`);
    this.#disturbedAt = [...this.#disturbedAt, Date.now()];
    await Promise.all(pair.map((disturbance) => disturbance.run()));
    this.#disturbedAt = [...this.#disturbedAt, Date.now()];
    await wait(PAUSE_MS);
    await this.#runDisturbances(endsAt);
  }

  #listDisturbances(): readonly Disturbance[] {
    return [
      { name: 'kill and replace a daemon', run: async () => this.#replaceDaemon() },
      { name: 'freeze a daemon', run: async () => this.#freezeDaemon() },
      { name: 'crash an upstream', run: async () => this.#crashUpstream() },
      { name: 'cut answers of an upstream', run: async () => this.#dropAnswers() },
      { name: 'silence connections', run: async () => this.#silence() },
      { name: 'reset connections', run: async () => this.#reset() },
    ];
  }

  /** The first daemons stay: callers know them as seeds. */
  #drawDaemon(): DaemonProcess {
    const { daemons } = this.#harness;
    return daemons[3 + Math.floor(this.#random.next() * (daemons.length - 3))] as DaemonProcess;
  }

  #drawUpstream(): UpstreamStandIn {
    const { upstreams } = this.#harness;
    return upstreams[Math.floor(this.#random.next() * upstreams.length)] as UpstreamStandIn;
  }

  async #replaceDaemon(): Promise<void> {
    const daemon = this.#drawDaemon();
    this.#harness.removeDaemon(daemon);
    await daemon.kill();
    await this.#harness.addDaemon(Number(daemon.id.replace('entry-', '')));
  }

  async #freezeDaemon(): Promise<void> {
    const daemon = this.#drawDaemon();
    daemon.freeze();
    await wait(FREEZE_MS);
    daemon.thaw();
  }

  async #crashUpstream(): Promise<void> {
    const upstream = this.#drawUpstream();
    await upstream.crash().catch(() => undefined);
    await wait(PAUSE_MS);
    await upstream.start().catch(() => undefined);
  }

  async #dropAnswers(): Promise<void> {
    const proxy = this.#harness.findProxy(this.#drawUpstream().settings.id);
    proxy.setFault('backward', 'drop');
    await wait(CUT_MS);
    proxy.setFault('backward', 'none');
  }

  async #silence(): Promise<void> {
    this.#harness.findProxy(this.#drawUpstream().settings.id).silence();
  }

  async #reset(): Promise<void> {
    this.#harness.findProxy(this.#drawUpstream().settings.id).reset();
  }

  #computeFigures(load: Load): OnceFigures {
    const runs = this.#harness.upstreams
      .flatMap((upstream) => upstream.listRuns())
      .reduce(
        (counts, { operation, runs: count }) =>
          counts.set(operation, (counts.get(operation) ?? 0) + count),
        new Map<string, number>(),
      );
    const bookings = load.outcomes.filter(({ repeatable }) => !repeatable);
    const notRun = load.outcomes.filter(({ kind }) => kind === 'not-run');
    const unknown = bookings.filter(({ kind }) => kind === 'unknown');
    return {
      sent: load.counts.sent,
      answered: load.counts.answered,
      notRun: load.counts.notRun,
      unknown: load.counts.unknown,
      unknownInCalm: unknown.filter((outcome) => this.#isCalm(outcome)).length,
      ranTwice: bookings.filter(({ operation }) => (runs.get(operation) ?? 0) > 1).length,
      notRunButRan: notRun.filter(({ operation }) => (runs.get(operation) ?? 0) > 0).length,
      crossed: load.counts.crossed,
      cutShort: load.counts.cutShort,
      disturbances: this.#disturbedAt.length,
    };
  }

  #isCalm({ endedAt }: OperationOutcome): boolean {
    return this.#disturbedAt.every((at) => Math.abs(endedAt - at) > DEADLINE_MS);
  }
}
