/**
 * Open-loop load: callers send at a set rate whatever the answers do, and every answer is checked
 * against its request.
 */
import { createRandom } from '@baobabline/core';
import type { RandomSource } from '@baobabline/core';
import { FleetClient } from '@baobabline/client';
import type { Address, CallerResult } from '@baobabline/client';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

import type { Deployment } from '../deployment/deployments.js';

export type LoadOptions = {
  readonly deployment: Deployment;
  readonly seeds: readonly Address[];
  readonly seed: number;
  readonly clients: number;
  /** Requests a second as a function of the seconds since the start. */
  readonly getRate: (seconds: number) => number;
  /** Share of requests that may not be repeated. */
  readonly bookShare: number;
  readonly deadlineMs: number;
};

export type LoadCounts = {
  readonly sent: number;
  readonly answered: number;
  readonly failedAnswers: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly crossed: number;
  readonly cutShort: number;
};

/** What became of one operation, to be compared with what the upstreams ran. */
export type OperationOutcome = {
  readonly operation: string;
  readonly kind: CallerResult['kind'];
  readonly code: number;
  readonly repeatable: boolean;
  readonly endedAt: number;
  /** From the first try to the last. */
  readonly elapsedMs: number;
};

const EMPTY_COUNTS: LoadCounts = {
  sent: 0,
  answered: 0,
  failedAnswers: 0,
  notRun: 0,
  unknown: 0,
  crossed: 0,
  cutShort: 0,
};

const STEP_MS = 10;
const OK_STATUS = 200;
const MICROSECONDS_PER_MS = 1000;

function readAnswer(body: Buffer): { readonly requestId?: string } | undefined {
  try {
    return JSON.parse(body.toString()) as { readonly requestId?: string };
  } catch {
    return undefined;
  }
}

export class Load {
  readonly latency: Histogram = build({ highestTrackableValue: 120_000_000 });

  readonly #options: LoadOptions;

  readonly #random: RandomSource;

  readonly #clients: readonly FleetClient[];

  #counts = EMPTY_COUNTS;

  #outcomes: OperationOutcome[] = [];

  #pending = 0;

  #owed = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor(options: LoadOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    const { deployment, seeds } = options;
    this.#clients = Array.from({ length: options.clients }, (_, index) => {
      const customer = deployment.customers[index % deployment.customers.length];
      const dataCentre = deployment.dataCentres[index % deployment.dataCentres.length];
      return new FleetClient({ customer: customer?.id ?? '', dataCentre, seeds });
    });
  }

  get counts(): LoadCounts {
    return this.#counts;
  }

  get outcomes(): readonly OperationOutcome[] {
    return this.#outcomes;
  }

  get pending(): number {
    return this.#pending;
  }

  start(): void {
    const startedAt = performance.now();
    let steppedAt = startedAt;
    this.#timer = setInterval(() => {
      const now = performance.now();
      const rate = this.#options.getRate((now - startedAt) / 1000);
      this.#owed += (rate * (now - steppedAt)) / 1000;
      steppedAt = now;
      const due = Math.floor(this.#owed);
      this.#owed -= due;
      Array.from({ length: due }).forEach(() => this.#sendOne());
    }, STEP_MS);
  }

  /** Stops sending and resolves when everything sent has ended. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    const wait = async (): Promise<void> => {
      if (this.#pending === 0) return;
      await new Promise((resolve) => {
        setTimeout(resolve, STEP_MS);
      });
      await wait();
    };
    await wait();
    await Promise.all(this.#clients.map((client) => client.close()));
  }

  /** Milliseconds at a percentile of the answered requests. */
  getLatencyMs(percentile: number): number {
    return this.latency.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  }

  #sendOne(): void {
    const { deployment, bookShare, deadlineMs } = this.#options;
    const client = this.#clients[Math.floor(this.#random.next() * this.#clients.length)];
    const service = this.#drawService(deployment);
    const books = this.#random.next() < bookShare;
    this.#pending += 1;
    this.#add('sent');
    const sentAt = performance.now();
    client
      ?.send({
        service,
        kind: books ? 'book' : 'read',
        method: books ? 'POST' : 'GET',
        path: '/work',
        body: books ? 'booking' : undefined,
        deadlineMs,
        repeatable: !books,
      })
      .then((result) => this.#record(result, performance.now() - sentAt, !books))
      .catch(() => this.#add('unknown'))
      .finally(() => {
        this.#pending -= 1;
      });
  }

  /** Draws a service in proportion to its slots. */
  #drawService({ services }: Deployment): string {
    const slots = services.map((size) => size.instances * size.slots);
    const total = slots.reduce((sum, count) => sum + count, 0);
    const draw = this.#random.next() * total;
    const index = slots.findIndex(
      (_, at) => draw < slots.slice(0, at + 1).reduce((sum, count) => sum + count, 0),
    );
    return services[Math.max(0, index)]?.service ?? '';
  }

  #record(result: CallerResult, elapsedMs: number, repeatable: boolean): void {
    const { operation, kind } = result;
    const code = result.kind === 'answered' ? 0 : result.code;
    this.#outcomes.push({ operation, kind, code, repeatable, endedAt: Date.now(), elapsedMs });
    if (result.kind !== 'answered') {
      this.#add(result.kind === 'not-run' ? 'notRun' : 'unknown');
      return;
    }
    this.#add('answered');
    this.latency.recordValue(Math.max(1, Math.round(elapsedMs * MICROSECONDS_PER_MS)));
    if (result.status !== OK_STATUS) {
      this.#add('failedAnswers');
      return;
    }
    const answer = readAnswer(result.body);
    if (!answer) this.#add('cutShort');
    else if (answer.requestId !== result.requestId) this.#add('crossed');
  }

  #add(field: keyof LoadCounts): void {
    this.#counts = { ...this.#counts, [field]: this.#counts[field] + 1 };
  }
}
