/**
 * How fast a publication is in force everywhere, and that none ever reverts: changes under load,
 * the service down, then stale, and daemons that start while it is away.
 */
import { getDeployment } from '../deployment/deployments.js';
import type { DaemonProcess } from '../harness/daemon-process.js';
import { FleetHarness, waitFor } from '../harness/fleet-harness.js';
import type { Load } from '../harness/load.js';
import { computeQuantile, printProgress, runInTurn, wait } from '../runner/report.js';

export type ConfigurationOptions = {
  readonly seed: number;
  readonly daemons: number;
  readonly changes: number;
};

export type ConfigurationFigures = {
  readonly daemons: number;
  readonly changes: number;
  readonly inForceMedianMs: number | undefined;
  readonly inForceMaxMs: number | undefined;
  readonly reverts: number;
  readonly readsPerSecond: number;
  readonly watchCallsPerSecond: number;
};

type Accepted = { readonly version: number; readonly at: number };

type Publication = { readonly version: number; readonly at: number };

const SPACING_MS = 700;
const AWAY_MS = 3000;
const RATE_PER_SECOND = 200;
const IN_FORCE_TIMEOUT_MS = 20_000;

function listAccepted(daemon: DaemonProcess): readonly Accepted[] {
  return daemon.events
    .filter(({ event, document }) => event === 'document-accepted' && document === 'lists')
    .map(({ version, time }) => ({ version: Number(version), at: Date.parse(String(time)) }));
}

/** How often a daemon took a version that is not higher than the one before. */
export function countReverts(versions: readonly number[]): number {
  return versions.filter((version, index) => index > 0 && version <= (versions[index - 1] ?? 0))
    .length;
}

export class ConfigurationExperiment {
  readonly #options: ConfigurationOptions;

  readonly #harness: FleetHarness;

  constructor(options: ConfigurationOptions) {
    this.#options = options;
    this.#harness = new FleetHarness({
      deployment: getDeployment('agnirakshak'),
      daemons: options.daemons,
      seed: options.seed,
      settings: { logs: { level: 'info', decisionSampling: 0 } },
    });
  }

  async measure(): Promise<ConfigurationFigures> {
    await this.#harness.start();
    printProgress(`${this.#options.daemons} daemons serve`);
    try {
      return await this.#measureOn();
    } finally {
      await this.#harness.stop();
    }
  }

  async #measureOn(): Promise<ConfigurationFigures> {
    const load = this.#createLoad();
    load.start();
    const startedAt = performance.now();
    const { counts: before } = this.#harness.configuration;
    const publications = await this.#publishChanges();
    const seconds = (performance.now() - startedAt) / 1000;
    const { counts: after } = this.#harness.configuration;
    const delays = this.#computeDelays(publications);
    await this.#runAbsence();
    await load.stop();
    const reverts = this.#harness.daemons.reduce(
      (sum, daemon) => sum + countReverts(listAccepted(daemon).map(({ version }) => version)),
      0,
    );
    return {
      daemons: this.#options.daemons,
      changes: publications.length,
      inForceMedianMs: computeQuantile(delays, 0.5),
      inForceMaxMs: computeQuantile(delays, 1),
      reverts: reverts + (await this.#countOutdated()),
      readsPerSecond: Number(((after.reads - before.reads) / seconds).toFixed(2)),
      watchCallsPerSecond: Number(((after.watches - before.watches) / seconds).toFixed(2)),
    };
  }

  #createLoad(): Load {
    return this.#harness.createLoad({
      clients: 20,
      getRate: () => RATE_PER_SECOND,
      bookShare: 0.2,
      deadlineMs: 3000,
    });
  }

  async #publishChanges(): Promise<readonly Publication[]> {
    const numbers = Array.from({ length: this.#options.changes }, (_, index) => index);
    const publications = await runInTurn(numbers, async () => {
      const at = Date.now();
      const version = this.#harness.publishLists();
      await wait(SPACING_MS);
      return { version, at };
    });
    await this.#waitForNewest('the last change is in force everywhere');
    return publications;
  }

  /** Milliseconds until each daemon had each publication or a newer one in force. */
  #computeDelays(publications: readonly Publication[]): readonly number[] {
    return this.#harness.daemons.flatMap((daemon) => {
      const accepted = listAccepted(daemon);
      return publications.map(({ version, at }) => {
        const first = accepted.find((row) => row.version >= version);
        return first ? Math.max(0, first.at - at) : IN_FORCE_TIMEOUT_MS;
      });
    });
  }

  /** The service goes down and comes back stale; daemons start meanwhile. */
  async #runAbsence(): Promise<void> {
    const { configuration } = this.#harness;
    const { daemons } = this.#options;
    printProgress('service down');
    configuration.setMode('down');
    await this.#harness.addDaemon(daemons);
    await wait(AWAY_MS / 2);
    printProgress('service stale');
    configuration.setMode('stale');
    await this.#harness.addDaemon(daemons + 1);
    await wait(AWAY_MS);
    await this.#waitForNewest('daemons that started meanwhile hold the newest version');
    configuration.setMode('up');
  }

  async #waitForNewest(what: string): Promise<void> {
    await waitFor(async () => (await this.#countOutdated()) === 0, IN_FORCE_TIMEOUT_MS, what);
  }

  async #countOutdated(): Promise<number> {
    const statuses = await Promise.all(this.#harness.daemons.map((daemon) => daemon.readStatus()));
    const newest = this.#harness.listsVersion;
    return statuses.filter(({ documents }) =>
      documents.every(({ id, version }) => id !== 'lists' || version < newest),
    ).length;
  }
}
