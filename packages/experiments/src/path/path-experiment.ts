/**
 * What a daemon adds to a request and how many it can carry: the same load direct to upstreams
 * and through one daemon, at the mean rate of the two-year size and then up to saturation.
 */
import { KeyValueService } from '@baobabline/stand-ins';
import type { UpstreamSettings } from '@baobabline/stand-ins';

import { getDeployment } from '../deployment/deployments.js';
import { DaemonProcess } from '../harness/daemon-process.js';
import { readCpuSeconds, readResidentMb } from '../harness/process-usage.js';
import { printProgress } from '../runner/report.js';
import { MICROSECONDS_PER_MS, PathLoad } from './path-load.js';
import { UpstreamWorker } from './upstream-worker.js';
import type { StartedUpstream } from './upstream-worker.js';

export type PathOptions = {
  readonly seed: number;
  readonly ratePerSecond: number;
  readonly seconds: number;
  /** Share of routing decisions that the daemon logs. */
  readonly decisionSampling: number;
};

export type PathFigures = {
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  readonly lost: number;
  /** Requests that may not be repeated and ran more than once. */
  readonly doubled: number;
  readonly crossed: number;
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  readonly saturationPerSecond: number;
  readonly cpuMsPerRequest: number;
  /** At the steady rate. */
  readonly residentMb: number;
  readonly saturatedResidentMb: number;
};

type Saturation = Pick<
  PathFigures,
  'saturationPerSecond' | 'cpuMsPerRequest' | 'saturatedResidentMb'
>;

const LOOPBACK = '127.0.0.1';
const SERVICE = 'visit-desk';
const UPSTREAMS = 20;
const SLOTS = 3;
const WORK_MS = 2;
const WARM_UP_S = 3;
const SATURATION_CONCURRENCY = 56;
const SATURATION_S = 6;

export class PathExperiment {
  readonly #options: PathOptions;

  readonly #configuration = new KeyValueService();

  readonly #vmList = new KeyValueService();

  readonly #worker: UpstreamWorker;

  constructor(options: PathOptions) {
    this.#options = options;
    this.#worker = new UpstreamWorker(this.#listUpstreamSettings());
  }

  async measure(): Promise<PathFigures> {
    const upstreams = await this.#worker.start();
    const daemon = await this.#startDaemon(upstreams);
    const customer = getDeployment('agnirakshak').customers[0]?.id ?? '';
    const ports = upstreams.map(({ port }) => port);
    const direct = new PathLoad(
      'direct',
      customer,
      (index) => `http://${LOOPBACK}:${ports[index % ports.length]}/work`,
    );
    const through = new PathLoad(
      'through',
      customer,
      () => `http://${LOOPBACK}:${daemon.ports.callers}/${SERVICE}/work`,
    );
    try {
      return await this.#compare(daemon, direct, through);
    } finally {
      await Promise.all([direct.close(), through.close(), daemon.kill()]);
      await Promise.all([this.#worker.stop(), this.#configuration.stop(), this.#vmList.stop()]);
    }
  }

  async #compare(daemon: DaemonProcess, direct: PathLoad, through: PathLoad): Promise<PathFigures> {
    const { ratePerSecond, seconds } = this.#options;
    await this.#runBoth(direct, through, ratePerSecond, WARM_UP_S);
    [direct, through].forEach((load) => load.latency.reset());
    printProgress(`${ratePerSecond} requests/s, direct and through the daemon`);
    await this.#runBoth(direct, through, ratePerSecond, seconds);
    const computeAdded = (percentile: number): number =>
      (through.latency.getValueAtPercentile(percentile) -
        direct.latency.getValueAtPercentile(percentile)) /
      MICROSECONDS_PER_MS;
    const addedP50Ms = computeAdded(50);
    const addedP99Ms = computeAdded(99);
    const residentMb = await readResidentMb(daemon.pid);
    const saturation = await this.#measureSaturation(daemon, through);
    const { requests, answered, refused, crossed } = through.tally;
    const counts = await this.#countRuns(through);
    return {
      requests,
      answered,
      refused,
      ...counts,
      crossed,
      addedP50Ms,
      addedP99Ms,
      residentMb,
      ...saturation,
    };
  }

  async #runBoth(
    direct: PathLoad,
    through: PathLoad,
    ratePerSecond: number,
    seconds: number,
  ): Promise<void> {
    await Promise.all([
      direct.runSteady(ratePerSecond, seconds),
      through.runSteady(ratePerSecond, seconds),
    ]);
  }

  async #measureSaturation(daemon: DaemonProcess, through: PathLoad): Promise<Saturation> {
    printProgress('saturation');
    await through.runSaturated(SATURATION_CONCURRENCY, WARM_UP_S);
    const cpuBefore = await readCpuSeconds(daemon.pid);
    const answeredBefore = through.tally.answered;
    const perSecond = await through.runSaturated(SATURATION_CONCURRENCY, SATURATION_S);
    const cpuMs = ((await readCpuSeconds(daemon.pid)) - cpuBefore) * 1000;
    const answered = through.tally.answered - answeredBefore;
    return {
      saturationPerSecond: Math.round(perSecond),
      cpuMsPerRequest: Number((cpuMs / answered).toFixed(3)),
      saturatedResidentMb: await readResidentMb(daemon.pid),
    };
  }

  async #countRuns(through: PathLoad): Promise<Pick<PathFigures, 'lost' | 'doubled'>> {
    const rows = await this.#worker.countRuns();
    const runs = rows.reduce(
      (counts, row) => counts.set(row.operation, (counts.get(row.operation) ?? 0) + row.runs),
      new Map<string, number>(),
    );
    const unrun = through.sent.filter(({ id }) => !runs.has(id)).length;
    const doubled = through.sent.filter(({ id, books }) => books && (runs.get(id) ?? 0) > 1);
    return { lost: unrun - through.tally.refused, doubled: doubled.length };
  }

  #listUpstreamSettings(): readonly UpstreamSettings[] {
    const kinds = ['read', 'book'].map((name) => ({ name, medianMs: WORK_MS, sigma: 0.1 }));
    return Array.from({ length: UPSTREAMS }, (_, index) => ({
      id: `${SERVICE}-${index}`,
      service: SERVICE,
      dataCentre: 'gj-1',
      address: LOOPBACK,
      slots: SLOTS,
      seed: this.#options.seed + index,
      kinds,
      coldMs: 0,
      answerBytes: 200,
    }));
  }

  async #startDaemon(upstreams: readonly StartedUpstream[]): Promise<DaemonProcess> {
    await Promise.all([this.#configuration.start(), this.#vmList.start()]);
    const { plans, customers } = getDeployment('agnirakshak');
    this.#configuration.publish('lists', JSON.stringify({ version: 1, plans, customers }));
    const rows = upstreams.map(({ id, port }) => ({
      id,
      port,
      address: LOOPBACK,
      dataCentre: 'gj-1',
      service: SERVICE,
      slots: SLOTS,
    }));
    this.#vmList.publish('vm-list', JSON.stringify({ version: 1, upstreams: rows }));
    const daemon = await DaemonProcess.start({
      id: 'entry-0',
      dataCentre: 'gj-1',
      seeds: [],
      configurationService: { address: LOOPBACK, port: this.#configuration.port },
      vmListService: { address: LOOPBACK, port: this.#vmList.port },
      logs: { level: 'info', decisionSampling: this.#options.decisionSampling },
    });
    await daemon.waitForEvent('serving');
    return daemon;
  }
}
