/**
 * Detection time against false ejections over the threshold, from replays: many healthy
 * upstream-hours for the one, many faults for the other, all thresholds on the same replays.
 */
import { createRandom, judgeUpstream } from '@baobabline/core';

import type { DeploymentName } from '../deployment/deployments.js';
import { getDeployment } from '../deployment/deployments.js';
import { computeQuantile, printProgress } from '../runner/report.js';
import { SlotReplay } from './slot-replay.js';
import type { ReplayFault, ReplaySettings } from './slot-replay.js';

export type CurveOptions = {
  readonly deployment: DeploymentName;
  readonly seed: number;
  /** Virtual seconds of healthy service. */
  readonly seconds: number;
  readonly trials: number;
};

export type CurvePoint = {
  readonly threshold: number;
  readonly falseEjectionsPerHour: number;
  /** Median over trials in milliseconds, by fault. */
  readonly detectionMs: Readonly<Record<SickFault, number>>;
};

export const SICK_FAULTS = ['stall', 'slow', 'errors'] as const;

export type SickFault = (typeof SICK_FAULTS)[number];

const THRESHOLDS = [6, 8, 10, 12, 14, 16, 18, 20, 24];
const TICK_MS = 100;
const WARM_UP_MS = 8000;
const OBSERVE_MS = 8000;
const BARRED_MS = 3000;
const MS_PER_HOUR = 3_600_000;
const SLOTS_PER_OWNER = 10;
const NO_FAULT: ReplayFault = { kind: 'none', upstream: -1, startsAt: 0 };

function buildSettings(deployment: DeploymentName): ReplaySettings {
  const { services, dataCentres } = getDeployment(deployment);
  const [size] = services;
  const upstreams = size?.instances ?? 0;
  const slotsPerUpstream = size?.slots ?? 0;
  return {
    upstreams,
    slotsPerUpstream,
    owners: Math.max(3, Math.ceil((upstreams * slotsPerUpstream) / SLOTS_PER_OWNER)),
    dataCentres: dataCentres.length,
    medianMs: 45,
    sigma: 0.5,
    utilisation: 0.6,
  };
}

function listTicks(fromMs: number, toMs: number): readonly number[] {
  return Array.from(
    { length: Math.ceil((toMs - fromMs) / TICK_MS) },
    (_, index) => fromMs + index * TICK_MS,
  );
}

export class CurveExperiment {
  readonly #options: CurveOptions;

  readonly #settings: ReplaySettings;

  constructor(options: CurveOptions) {
    this.#options = options;
    this.#settings = buildSettings(options.deployment);
  }

  measure(): readonly CurvePoint[] {
    printProgress(`${this.#options.seconds} s of healthy service`);
    const falseCounts = this.#countFalseEjections();
    const hours = (this.#options.seconds * 1000 * this.#settings.upstreams) / MS_PER_HOUR;
    printProgress(`${this.#options.trials} trials of each fault`);
    const medians = SICK_FAULTS.map((kind) => this.#computeMedians(kind));
    return THRESHOLDS.map((threshold, index) => ({
      threshold,
      falseEjectionsPerHour: (falseCounts[index] ?? 0) / hours,
      detectionMs: Object.fromEntries(
        SICK_FAULTS.map((kind, at) => [kind, medians[at]?.[index] ?? OBSERVE_MS]),
      ) as Record<SickFault, number>,
    }));
  }

  /** Ejections of healthy upstreams at each threshold; an ejected one is barred for a while. */
  #countFalseEjections(): readonly number[] {
    const { seconds, seed } = this.#options;
    const replay = new SlotReplay(this.#settings, NO_FAULT, createRandom(seed));
    const barredUntil = THRESHOLDS.map(() => new Map<number, number>());
    const counts = THRESHOLDS.map(() => 0);
    listTicks(0, WARM_UP_MS + seconds * 1000).forEach((now) => {
      replay.advanceTo(now);
      if (now < WARM_UP_MS) return;
      replay.computeEvidence(now).forEach(({ upstream, rows }) =>
        THRESHOLDS.forEach((threshold, index) => {
          if (now < (barredUntil[index]?.get(upstream) ?? 0)) return;
          const own = Math.max(0, ...rows.map(({ score }) => score));
          const verdict = judgeUpstream('', rows, own, { pooled: threshold, local: threshold });
          if (verdict.scope === 'none') return;
          barredUntil[index]?.set(upstream, now + BARRED_MS);
          counts[index] = (counts[index] ?? 0) + 1;
        }),
      );
    });
    return counts;
  }

  /** Median time until the fleet's verdict at each threshold. */
  #computeMedians(kind: SickFault): readonly number[] {
    const trials = Array.from({ length: this.#options.trials }, (_, index) =>
      this.#runTrial(
        { kind, upstream: index % this.#settings.upstreams, startsAt: WARM_UP_MS },
        index,
      ),
    );
    return THRESHOLDS.map((_, index) => {
      const times = trials.map((found) => found[index] ?? OBSERVE_MS);
      return computeQuantile(times, 0.5) ?? OBSERVE_MS;
    });
  }

  #runTrial(fault: ReplayFault, index: number): readonly number[] {
    const random = createRandom(this.#options.seed * 1000 + index);
    const replay = new SlotReplay(this.#settings, fault, random);
    const foundAt = THRESHOLDS.map((): number | undefined => undefined);
    listTicks(0, WARM_UP_MS + OBSERVE_MS).forEach((now) => {
      replay.advanceTo(now);
      const evidence = replay.computeEvidence(now);
      if (now < WARM_UP_MS) return;
      const rows = evidence[fault.upstream]?.rows ?? [];
      THRESHOLDS.forEach((threshold, at) => {
        const verdict = judgeUpstream('', rows, 0, { pooled: threshold, local: threshold });
        if (verdict.scope === 'fleet') foundAt[at] ??= now - WARM_UP_MS;
      });
    });
    return foundAt.map((at) => at ?? OBSERVE_MS);
  }
}
