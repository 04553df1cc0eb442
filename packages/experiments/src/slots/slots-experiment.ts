/**
 * Ways of sharing upstream slots among daemons, side by side on the same load: owned slots, and
 * the baselines random, least in flight, and two choices on reported load.
 */
import { ROUTING_POLICIES } from '@baobabline/core';
import type { RoutingPolicyName } from '@baobabline/core';

import { getDeployment } from '../deployment/deployments.js';
import { FleetHarness } from '../harness/fleet-harness.js';
import type { Load } from '../harness/load.js';
import { printProgress, runInTurn, wait } from '../runner/report.js';

export type SlotsOptions = {
  readonly seed: number;
  readonly daemons: number;
  readonly secondsPerLoad: number;
};

export type SlotsFigures = {
  readonly load: number;
  readonly answeredPerSecond: number;
  /** Requests that the fleet refused unrun. */
  readonly shed: number;
  readonly unknown: number;
  readonly callerP50Ms: number;
  readonly callerP99Ms: number;
  /** Requests that reached an upstream whose slots were all taken. */
  readonly slotOverruns: number;
};

type PolicyFigures = {
  readonly policy: RoutingPolicyName;
  readonly loads: readonly SlotsFigures[];
};

const LOADS = [0.6, 0.9, 1.1];
const MEAN_SERVICE_MS = 55;
const WARM_UP_MS = 4000;
const DEADLINE_MS = 2000;
const CLIENTS = 72;
const BOOK_SHARE = 0.2;

export class SlotsExperiment {
  readonly #options: SlotsOptions;

  constructor(options: SlotsOptions) {
    this.#options = options;
  }

  async measure(): Promise<readonly PolicyFigures[]> {
    return runInTurn(ROUTING_POLICIES, async (policy) => ({
      policy,
      loads: await this.#measurePolicy(policy),
    }));
  }

  async #measurePolicy(routing: RoutingPolicyName): Promise<readonly SlotsFigures[]> {
    const harness = new FleetHarness({
      deployment: getDeployment('agnirakshak'),
      daemons: this.#options.daemons,
      seed: this.#options.seed,
      settings: { routing, logs: { level: 'info', decisionSampling: 0 } },
    });
    await harness.start();
    printProgress(`${routing}: ${this.#options.daemons} daemons serve`);
    try {
      const warmUp = this.#createLoad(harness, LOADS[0] as number);
      warmUp.start();
      await wait(WARM_UP_MS);
      await warmUp.stop();
      return await runInTurn(LOADS, async (load) => this.#measureLoad(harness, load));
    } finally {
      await harness.stop();
    }
  }

  async #measureLoad(harness: FleetHarness, share: number): Promise<SlotsFigures> {
    const { secondsPerLoad } = this.#options;
    const shedBefore = this.#countShed(harness);
    const load = this.#createLoad(harness, share);
    load.start();
    await wait(secondsPerLoad * 1000);
    const { answered } = load.counts;
    await load.stop();
    return {
      load: share,
      answeredPerSecond: Math.round(answered / secondsPerLoad),
      shed: load.counts.notRun,
      unknown: load.counts.unknown,
      callerP50Ms: load.getLatencyMs(50),
      callerP99Ms: load.getLatencyMs(99),
      slotOverruns: this.#countShed(harness) - shedBefore,
    };
  }

  #countShed({ upstreams }: FleetHarness): number {
    return upstreams.reduce((sum, { shedCount }) => sum + shedCount, 0);
  }

  #createLoad(harness: FleetHarness, share: number): Load {
    const { deployment } = harness.options;
    const slots = deployment.services.reduce((sum, size) => sum + size.instances * size.slots, 0);
    return harness.createLoad({
      clients: CLIENTS,
      getRate: () => (share * slots * 1000) / MEAN_SERVICE_MS,
      bookShare: BOOK_SHARE,
      deadlineMs: DEADLINE_MS,
    });
  }
}
