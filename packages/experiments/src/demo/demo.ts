/**
 * The demo: a small deployment on loopback, callers in a wave, an upstream that falls sick and a
 * daemon that is stopped, with a live progress line and a table of what happened.
 */
import process from 'node:process';

import { getDeployment } from '../deployment/deployments.js';
import type { DaemonProcess } from '../harness/daemon-process.js';
import { FleetHarness } from '../harness/fleet-harness.js';
import type { Load } from '../harness/load.js';
import { wait } from '../runner/report.js';

export type DemoOptions = { readonly seed: number; readonly seconds: number };

type TableRow = { readonly what: string; readonly figure: string };

const DAEMONS = 4;
const CLIENTS = 40;
const PEAK_RATE = 500;
const CALM_RATE = 150;
const PROGRESS_MS = 500;
const DEADLINE_MS = 3000;
const SICK_AT = 0.35;
const STOP_AT = 0.6;
const SICK_UPSTREAM = 'visit-desk-7';

function formatTable(rows: readonly TableRow[]): string {
  const width = Math.max(...rows.map(({ what }) => what.length));
  return rows.map(({ what, figure }) => `${what.padEnd(width)}  ${figure}`).join('\n');
}

export class Demo {
  readonly #options: DemoOptions;

  readonly #harness: FleetHarness;

  #phase = 'calm';

  #sickAt = 0;

  constructor(options: DemoOptions) {
    this.#options = options;
    this.#harness = new FleetHarness({
      deployment: getDeployment('agnirakshak'),
      daemons: DAEMONS,
      seed: options.seed,
      settings: {
        entryHoldSeconds: 1,
        keyLifeSeconds: 6,
        logs: { level: 'info', decisionSampling: 0 },
      },
    });
  }

  async run(): Promise<void> {
    process.stdout.write('Starting 4 daemons, 20 visit-desk and 6 record-vault upstreams…\n');
    await this.#harness.start();
    const load = this.#createLoad();
    const progress = setInterval(() => this.#printProgress(load), PROGRESS_MS);
    try {
      load.start();
      await this.#runScenes();
      await load.stop();
      clearInterval(progress);
      this.#printSummary(load);
    } finally {
      clearInterval(progress);
      await this.#harness.stop();
    }
  }

  #createLoad(): Load {
    const { seconds } = this.#options;
    return this.#harness.createLoad({
      clients: CLIENTS,
      getRate: (at) => {
        const wave = Math.sin((Math.PI * Math.min(at, seconds)) / seconds) ** 2;
        return CALM_RATE + (PEAK_RATE - CALM_RATE) * wave;
      },
      bookShare: 0.2,
      deadlineMs: DEADLINE_MS,
    });
  }

  async #runScenes(): Promise<void> {
    const lengthMs = this.#options.seconds * 1000;
    await wait(lengthMs * SICK_AT);
    this.#phase = `${SICK_UPSTREAM} slow`;
    this.#sickAt = Date.now();
    this.#harness.findUpstream(SICK_UPSTREAM).setFault('slow');
    await wait(lengthMs * (STOP_AT - SICK_AT));
    const stopped = this.#harness.daemons.at(-1) as DaemonProcess;
    this.#phase = `${stopped.id} stopping`;
    await stopped.stop();
    this.#phase = `${stopped.id} stopped`;
    await wait(lengthMs * (1 - STOP_AT));
  }

  #printProgress({ counts, pending }: Load): void {
    const { sent, answered, notRun, unknown } = counts;
    const line = `sent ${sent}, answered ${answered}, in flight ${pending}, refused ${notRun}, unknown ${unknown} (${this.#phase})`;
    process.stdout.write(process.stdout.isTTY ? `\r${line.padEnd(100)}` : `${line}\n`);
  }

  #printSummary(load: Load): void {
    const { counts } = load;
    const doubled = this.#countDoubled(load);
    const rows: readonly TableRow[] = [
      { what: 'requests sent', figure: String(counts.sent) },
      { what: 'answered', figure: String(counts.answered) },
      { what: 'refused, not run', figure: String(counts.notRun) },
      { what: 'outcome unknown', figure: String(counts.unknown) },
      { what: "another request's answer", figure: String(counts.crossed) },
      { what: 'bookings that ran twice', figure: String(doubled) },
      { what: 'median, 99th percentile', figure: this.#formatLatency(load) },
      { what: `${SICK_UPSTREAM} ejected after`, figure: this.#describeEjection() },
    ];
    process.stdout.write(`\n\n${formatTable(rows)}\n`);
  }

  #formatLatency(load: Load): string {
    return `${load.getLatencyMs(50).toFixed(0)} ms, ${load.getLatencyMs(99).toFixed(0)} ms`;
  }

  #countDoubled(load: Load): number {
    const bookings = load.outcomes.filter(({ repeatable }) => !repeatable);
    return bookings.filter(({ operation }) => {
      const { upstreams } = this.#harness;
      return upstreams.reduce((sum, upstream) => sum + upstream.countRuns(operation), 0) > 1;
    }).length;
  }

  #describeEjection(): string {
    const times = this.#harness.daemons
      .flatMap(({ events }) => events)
      .filter(
        ({ event, upstream, change }) =>
          event === 'ejection' && upstream === SICK_UPSTREAM && change === 'ejected',
      )
      .map(({ time }) => Date.parse(String(time)))
      .filter((at) => at >= this.#sickAt);
    return times.length > 0 ? `${Math.min(...times) - this.#sickAt} ms` : 'not ejected';
  }
}
