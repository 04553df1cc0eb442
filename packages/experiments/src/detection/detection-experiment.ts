/**
 * Detection time and false ejections with real processes: some upstreams fall sick in turn under
 * load, and the last ordinary request that each gets tells when the last daemon had seen it. The
 * baseline runs on the same load and seed.
 */
import { createRandom } from '@baobabline/core';
import type { SuspicionPolicyName } from '@baobabline/core';
import { request as sendHttp } from 'undici';

import { getDeployment } from '../deployment/deployments.js';
import type { DeploymentName } from '../deployment/deployments.js';
import type { DaemonProcess } from '../harness/daemon-process.js';
import { FleetHarness } from '../harness/fleet-harness.js';
import type { Load } from '../harness/load.js';
import { computeQuantile, printProgress, runInTurn, wait } from '../runner/report.js';
import { applyFault, isSickness } from './faults.js';
import type { DetectionFault, FaultTarget } from './faults.js';

export type DetectionOptions = {
  readonly deployment: DeploymentName;
  readonly fault: DetectionFault;
  readonly daemons: number;
  readonly seed: number;
  readonly trials: number;
};

export type DetectionFigures = {
  readonly trials: number;
  /** Trials in which the sick upstream still got work at the end. */
  readonly undetected: number;
  readonly detectionMedianMs: number | undefined;
  readonly detectionP99Ms: number | undefined;
  readonly falseEjections: number;
  readonly upstreamHours: number;
  readonly floorBreaks: number;
  readonly callerP99Ms: number;
  readonly failedAnswers: number;
};

type Trial = FaultTarget & { readonly startedAt: number };

type EjectionEvent = {
  readonly upstream: string;
  readonly change: string;
  readonly time: string;
};

const WARM_UP_MS = 5000;
const RAMP_S = 2;
const TRIAL_SPACING_MS = 1200;
const OBSERVE_MS = 5000;
const QUIET_MS = 3500;
const MEAN_SERVICE_MS = 55;
const LOAD_SHARE = 0.6;
const WAVE_SHARE = 1;
const WAVE_STARTS_S = 6;
const BOOK_SHARE = 0.2;
const DEADLINE_MS = 3000;
const CLIENTS = 60;
const MS_PER_HOUR = 3_600_000;
const FLOOR_POLL_MS = 200;
const POISON_INTERVAL_MS = 400;

/** What one trial showed, in wall-clock milliseconds. */
export type TrialRecord = {
  readonly arrivals: readonly number[];
  readonly faultAt: number;
  readonly observedUntil: number;
  /** When a daemon first ejected the upstream; undefined if none did. */
  readonly ejectedAt: number | undefined;
  /** When its first return trickle may have begun. */
  readonly onTrialAt: number | undefined;
};

/**
 * Milliseconds from the fault to the last ordinary request; undefined if work never stopped.
 * An upstream that no daemon ejected counts as found only if it has been without work for longer
 * than a stuck request can take.
 */
export function computeDetectionMs(record: TrialRecord): number | undefined {
  const { arrivals, faultAt, observedUntil, ejectedAt, onTrialAt } = record;
  const ordinary = arrivals.filter((at) => at > faultAt && at < (onTrialAt ?? observedUntil));
  const last = ordinary.at(-1) ?? faultAt;
  if (ejectedAt === undefined && observedUntil - last < QUIET_MS) return undefined;
  return last - faultAt;
}

function listChanges(daemons: readonly DaemonProcess[]): readonly EjectionEvent[] {
  return daemons
    .flatMap(({ events }) => events)
    .filter(({ event }) => event === 'ejection')
    .map((line) => line as unknown as EjectionEvent);
}

function findFirstChange(
  changes: readonly EjectionEvent[],
  change: string,
  upstream: string,
  after: number,
): number | undefined {
  const times = changes
    .filter((row) => row.change === change && row.upstream === upstream)
    .map(({ time }) => Date.parse(time))
    .filter((at) => at >= after);
  return times.length > 0 ? Math.min(...times) : undefined;
}

export class DetectionExperiment {
  readonly #options: DetectionOptions;

  #floorBreaks = 0;

  constructor(options: DetectionOptions) {
    this.#options = options;
  }

  /** Measures one way of judging on a fleet of its own. */
  async measure(suspicion: SuspicionPolicyName): Promise<DetectionFigures> {
    this.#floorBreaks = 0;
    const { daemons, seed } = this.#options;
    const deployment = getDeployment(this.#options.deployment);
    const harness = new FleetHarness({
      deployment,
      daemons,
      seed,
      proxied: true,
      settings: { suspicion, logs: { level: 'info', decisionSampling: 0 } },
    });
    await harness.start();
    printProgress(`${suspicion}: ${daemons} daemons serve`);
    try {
      return await this.#measureOn(harness);
    } finally {
      await harness.stop();
    }
  }

  async #measureOn(harness: FleetHarness): Promise<DetectionFigures> {
    const load = this.#createLoad(harness);
    load.start();
    const startedAt = Date.now();
    const floorTimer = setInterval(() => {
      this.#checkFloors(harness).catch(() => undefined);
    }, FLOOR_POLL_MS);
    await wait(WARM_UP_MS);
    load.latency.reset();
    const trials = await this.#runTrials(harness);
    await wait(OBSERVE_MS);
    const observedUntil = Date.now();
    clearInterval(floorTimer);
    const figures = this.#computeFigures(harness, load, trials, { startedAt, observedUntil });
    trials.forEach(({ upstream, proxy }) => {
      upstream.setFault('none');
      proxy.setFault('backward', 'none');
    });
    await load.stop();
    return {
      ...figures,
      callerP99Ms: load.getLatencyMs(99),
      failedAnswers: load.counts.failedAnswers + load.counts.notRun + load.counts.unknown,
    };
  }

  #createLoad(harness: FleetHarness): Load {
    const { deployment } = harness.options;
    const slots = deployment.services.reduce((sum, size) => sum + size.instances * size.slots, 0);
    const fullRate = (slots * 1000) / MEAN_SERVICE_MS;
    const isWave = this.#options.fault === 'wave';
    return harness.createLoad({
      clients: CLIENTS,
      getRate: (seconds) =>
        fullRate *
        Math.min(1, seconds / RAMP_S) *
        (isWave && seconds > WAVE_STARTS_S ? WAVE_SHARE : LOAD_SHARE),
      bookShare: BOOK_SHARE,
      deadlineMs: DEADLINE_MS,
    });
  }

  /** Makes upstreams of the first service sick, one after the other. */
  async #runTrials(harness: FleetHarness): Promise<readonly Trial[]> {
    const { fault, seed, trials } = this.#options;
    const [service] = harness.options.deployment.services;
    const random = createRandom(seed);
    const order = Array.from({ length: service?.instances ?? 0 }, (_, index) => ({
      index,
      draw: random.next(),
    })).sort((left, right) => left.draw - right.draw);
    return runInTurn(order.slice(0, trials), async ({ index }) => {
      const id = `${service?.service}-${index}`;
      const target = { upstream: harness.findUpstream(id), proxy: harness.findProxy(id) };
      const startedAt = Date.now();
      if (fault === 'poison') await this.#sendPoison(harness);
      applyFault(fault, target);
      printProgress(`${fault}: ${id}`);
      await wait(TRIAL_SPACING_MS);
      return { ...target, startedAt };
    });
  }

  /** Sends the request that crashes whatever runs it, again and again, as its caller would. */
  async #sendPoison(harness: FleetHarness): Promise<void> {
    const [daemon] = harness.daemons;
    const { deployment } = harness.options;
    await runInTurn([1, 2, 3], async (number) => {
      const url = `http://127.0.0.1:${daemon?.ports.callers}/${deployment.services[0]?.service}/poison`;
      const response = await sendHttp(url, {
        headers: {
          'baobabline-customer': deployment.customers[0]?.id ?? '',
          'baobabline-kind': 'read',
          'x-poison': 'yes',
        },
      });
      printProgress(`poison ${number}: ${response.headers['baobabline-refused']}`);
      await response.body.dump();
      await wait(POISON_INTERVAL_MS);
    });
  }

  #computeFigures(
    harness: FleetHarness,
    load: Load,
    trials: readonly Trial[],
    time: { readonly startedAt: number; readonly observedUntil: number },
  ): DetectionFigures {
    const sick = isSickness(this.#options.fault) ? trials : [];
    const changes = listChanges(harness.daemons);
    const detected = sick.map(({ upstream, startedAt }) =>
      computeDetectionMs({
        arrivals: upstream.arrivals.map(({ at }) => at),
        faultAt: startedAt,
        observedUntil: time.observedUntil,
        ejectedAt: findFirstChange(changes, 'ejected', upstream.settings.id, startedAt),
        onTrialAt: findFirstChange(changes, 'on-trial', upstream.settings.id, startedAt),
      }),
    );
    const found = detected.filter((value): value is number => value !== undefined);
    const hours = ((time.observedUntil - time.startedAt) * harness.upstreams.length) / MS_PER_HOUR;
    return {
      trials: sick.length,
      undetected: detected.length - found.length,
      detectionMedianMs: computeQuantile(found, 0.5),
      detectionP99Ms: computeQuantile(found, 0.99),
      falseEjections: this.#countFalseEjections(harness, sick),
      upstreamHours: Number(hours.toFixed(3)),
      floorBreaks: this.#floorBreaks,
      callerP99Ms: load.getLatencyMs(99),
      failedAnswers: load.counts.failedAnswers,
    };
  }

  /** Healthy upstreams that any daemon ejected; each counts once. */
  #countFalseEjections(harness: FleetHarness, sick: readonly Trial[]): number {
    const wrong = listChanges(harness.daemons).filter(({ upstream, change, time }) => {
      if (change !== 'ejected') return false;
      const trial = sick.find((candidate) => candidate.upstream.settings.id === upstream);
      return !trial || Date.parse(time) < trial.startedAt;
    });
    return new Set(wrong.map(({ upstream }) => upstream)).size;
  }

  /** Looks at every daemon's own view for a service that ejection took below its floor. */
  async #checkFloors(harness: FleetHarness): Promise<void> {
    const counts = await Promise.all(
      harness.daemons.map(async (daemon) => {
        const status = await daemon.readStatus();
        return status.services.filter(({ service, ejected, floorSlots }) => {
          const size = harness.options.deployment.services.find((row) => row.service === service);
          const unreachable = status.unreachableUpstreams.filter((id) => id.startsWith(service));
          const slots = size?.slots ?? 0;
          const reachable = ((size?.instances ?? 0) - unreachable.length) * slots;
          const left = reachable - ejected.length * slots;
          return ejected.length > 0 && left < floorSlots;
        }).length;
      }),
    );
    this.#floorBreaks += counts.reduce((sum, count) => sum + count, 0);
  }
}
