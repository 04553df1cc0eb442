/**
 * What control costs a daemon at several sizes of the fleet: bytes, processor time and memory,
 * without callers, so that nothing else is counted.
 */
import { getDeployment } from '../deployment/deployments.js';
import type { DaemonProcess } from '../harness/daemon-process.js';
import { FleetHarness } from '../harness/fleet-harness.js';
import { readCpuSeconds, readResidentMb } from '../harness/process-usage.js';
import { computeQuantile, printProgress, runInTurn, wait } from '../runner/report.js';

export type FleetOptions = {
  readonly seed: number;
  readonly sizes: readonly number[];
  readonly seconds: number;
};

export type FleetFigures = {
  readonly n: number;
  /** Sent and received, mean over the daemons. */
  readonly controlBytesPerSecond: number;
  readonly controlBytesPerSecondMax: number;
  readonly controlCorePercent: number;
  readonly controlCorePercentMax: number;
  readonly residentMb: number;
  /** Milliseconds until all others held a killed daemon to be dead. */
  readonly deathSeenMs: number;
};

type Usage = { readonly bytes: number; readonly cpuSeconds: number };

const SETTLE_MS = 8000;
const POLL_MS = 50;

async function readUsage(daemon: DaemonProcess): Promise<Usage> {
  const [metrics, cpuSeconds] = await Promise.all([
    daemon.readMetric('baobabline_control_bytes'),
    readCpuSeconds(daemon.pid),
  ]);
  return { bytes: metrics, cpuSeconds };
}

function computeMean(figures: readonly number[]): number {
  return figures.reduce((sum, figure) => sum + figure, 0) / figures.length;
}

export class FleetExperiment {
  readonly #options: FleetOptions;

  constructor(options: FleetOptions) {
    this.#options = options;
  }

  async measure(): Promise<readonly FleetFigures[]> {
    return runInTurn(this.#options.sizes, async (size) => this.#measureSize(size));
  }

  async #measureSize(size: number): Promise<FleetFigures> {
    const harness = new FleetHarness({
      deployment: getDeployment('agnirakshak'),
      daemons: size,
      seed: this.#options.seed,
      settings: { logs: { level: 'info', decisionSampling: 0 } },
    });
    await harness.start();
    printProgress(`${size} daemons serve`);
    try {
      await wait(SETTLE_MS);
      return await this.#measureOn(harness);
    } finally {
      await harness.stop();
    }
  }

  async #measureOn(harness: FleetHarness): Promise<FleetFigures> {
    const { daemons } = harness;
    const startedAt = performance.now();
    const before = await Promise.all(daemons.map(readUsage));
    await wait(this.#options.seconds * 1000);
    const after = await Promise.all(daemons.map(readUsage));
    const seconds = (performance.now() - startedAt) / 1000;
    const bytes = after.map((row, index) => (row.bytes - (before[index]?.bytes ?? 0)) / seconds);
    const cpu = after.map(
      (row, index) => ((row.cpuSeconds - (before[index]?.cpuSeconds ?? 0)) / seconds) * 100,
    );
    const memory = await Promise.all(daemons.map(({ pid }) => readResidentMb(pid)));
    return {
      n: daemons.length,
      controlBytesPerSecond: Math.round(computeMean(bytes)),
      controlBytesPerSecondMax: Math.round(Math.max(...bytes)),
      controlCorePercent: Number(computeMean(cpu).toFixed(2)),
      controlCorePercentMax: Number(Math.max(...cpu).toFixed(2)),
      residentMb: computeQuantile(memory, 0.5) ?? 0,
      deathSeenMs: await this.#measureDeath(harness),
    };
  }

  async #measureDeath(harness: FleetHarness): Promise<number> {
    const killed = harness.daemons.at(-1) as DaemonProcess;
    harness.removeDaemon(killed);
    await killed.kill();
    const startedAt = performance.now();
    const poll = async (): Promise<number> => {
      const statuses = await Promise.all(harness.daemons.map((daemon) => daemon.readStatus()));
      const allSee = statuses.every(({ members }) =>
        members.every(({ id, state }) => id !== killed.id || state === 'dead'),
      );
      if (allSee) return Math.round(performance.now() - startedAt);
      await wait(POLL_MS);
      return poll();
    };
    return poll();
  }
}
