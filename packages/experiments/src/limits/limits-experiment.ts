/**
 * One customer sends through many daemons at five times its rate, with the fleet whole and then
 * split in two, and then within its rate with the fleet whole.
 */
import { request as sendHttp } from 'undici';

import { getDeployment } from '../deployment/deployments.js';
import type { Deployment } from '../deployment/deployments.js';
import { FleetHarness, waitFor } from '../harness/fleet-harness.js';
import { PartitionMesh } from '../harness/partition-mesh.js';
import { printProgress, wait } from '../runner/report.js';

export type LimitsOptions = {
  readonly seed: number;
  readonly daemons: number;
  readonly limitPerSecond: number;
  readonly seconds: number;
};

export type LimitsFigures = {
  readonly limit: number;
  readonly admitted: number;
  readonly overshootRatio: number;
  readonly splitAdmitted: number;
  readonly splitOvershootRatio: number;
  /** Refusals of the customer while it kept within its rate. */
  readonly lateRefusals: number;
};

type Phase = { readonly admitted: number; readonly refused: number };

const OVERLOAD = 5;
const WITHIN = 0.9;
const STEP_MS = 10;
const REFILL_MS = 1500;
const BURST_SECONDS = 0.2;
const OVER_RATE_CODE = '200';

export class LimitsExperiment {
  readonly #options: LimitsOptions;

  constructor(options: LimitsOptions) {
    this.#options = options;
  }

  async measure(): Promise<LimitsFigures> {
    const mesh = await PartitionMesh.create(this.#options.daemons);
    const harness = new FleetHarness({
      deployment: this.#createDeployment(),
      daemons: this.#options.daemons,
      seed: this.#options.seed,
      mesh,
      settings: { logs: { level: 'info', decisionSampling: 0 } },
    });
    await harness.start();
    try {
      return await this.#measureOn(harness, mesh);
    } finally {
      await harness.stop();
    }
  }

  async #measureOn(harness: FleetHarness, mesh: PartitionMesh): Promise<LimitsFigures> {
    const { limitPerSecond, seconds, daemons } = this.#options;
    const budget = limitPerSecond * (seconds + BURST_SECONDS);
    printProgress('within the rate');
    const within = await this.#send(harness, limitPerSecond * WITHIN);
    await wait(REFILL_MS);
    printProgress('five times the rate, fleet whole');
    const whole = await this.#send(harness, limitPerSecond * OVERLOAD);
    mesh.split(Math.floor(daemons / 2));
    await waitFor(async () => this.#isSplit(harness), 20_000, 'both sides see the split');
    printProgress('five times the rate, fleet split');
    const split = await this.#send(harness, limitPerSecond * OVERLOAD);
    return {
      limit: limitPerSecond,
      admitted: whole.admitted / seconds,
      overshootRatio: Math.max(0, whole.admitted / budget - 1),
      splitAdmitted: split.admitted / seconds,
      splitOvershootRatio: Math.max(0, split.admitted / budget - 1),
      lateRefusals: within.refused,
    };
  }

  async #isSplit(harness: FleetHarness): Promise<boolean> {
    const half = Math.floor(this.#options.daemons / 2);
    const statuses = await Promise.all(harness.daemons.map((daemon) => daemon.readStatus()));
    return statuses.every(
      ({ members }) => members.filter(({ state }) => state === 'serving').length <= half + 1,
    );
  }

  #createDeployment(): Deployment {
    const deployment = getDeployment('agnirakshak');
    const { limitPerSecond } = this.#options;
    const plans = deployment.plans.map((plan) => ({
      ...plan,
      ratePerSecond: limitPerSecond,
      burst: limitPerSecond * BURST_SECONDS,
    }));
    return { ...deployment, plans };
  }

  /** Sends from all daemons in turn for the length of a phase. */
  async #send(harness: FleetHarness, ratePerSecond: number): Promise<Phase> {
    const startedAt = performance.now();
    const endsAt = startedAt + this.#options.seconds * 1000;
    const pending: Promise<boolean>[] = [];
    const step = async (sent: number): Promise<void> => {
      const now = Math.min(performance.now(), endsAt);
      const due = Math.floor(((now - startedAt) / 1000) * ratePerSecond);
      Array.from({ length: due - sent }, (_, index) =>
        pending.push(this.#sendOne(harness, sent + index)),
      );
      if (now >= endsAt) return;
      await wait(STEP_MS);
      await step(due);
    };
    await step(0);
    const admitted = (await Promise.all(pending)).filter(Boolean).length;
    return { admitted, refused: pending.length - admitted };
  }

  /** Resolves with whether the plan's limit let the request pass. */
  async #sendOne(harness: FleetHarness, index: number): Promise<boolean> {
    const daemon = harness.daemons[index % harness.daemons.length];
    const { customers } = harness.options.deployment;
    const response = await sendHttp(`http://127.0.0.1:${daemon?.ports.callers}/visit-desk/work`, {
      headers: {
        'baobabline-customer': customers[0]?.id ?? '',
        'baobabline-kind': 'read',
      },
    });
    await response.body.dump();
    return response.headers['baobabline-refused'] !== OVER_RATE_CODE;
  }
}
