/**
 * Load on one address, steady or as much as it takes, with every answer checked.
 */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Agent, request as sendHttp } from 'undici';

import { wait } from '../runner/report.js';

type Tally = {
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  readonly crossed: number;
};

/** A request and whether it may not be repeated. */
type SentRequest = { readonly id: string; readonly books: boolean };

export const MICROSECONDS_PER_MS = 1000;
const BOOK_EVERY = 5;
const STEP_MS = 5;
const EMPTY_TALLY: Tally = { requests: 0, answered: 0, refused: 0, crossed: 0 };

export class PathLoad {
  readonly #agent = new Agent({ connections: 128 });

  readonly #getUrl: (index: number) => string;

  readonly #customer: string;

  readonly latency: Histogram = build();

  readonly sent: SentRequest[] = [];

  tally = EMPTY_TALLY;

  #count = 0;

  readonly #name: string;

  constructor(name: string, customer: string, getUrl: (index: number) => string) {
    this.#name = name;
    this.#customer = customer;
    this.#getUrl = getUrl;
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /** Sends at a steady rate for some seconds. */
  async runSteady(ratePerSecond: number, seconds: number): Promise<void> {
    const startedAt = performance.now();
    const pending: Promise<void>[] = [];
    const step = async (sent: number): Promise<void> => {
      const elapsed = (performance.now() - startedAt) / 1000;
      const due = Math.floor(Math.min(elapsed, seconds) * ratePerSecond);
      Array.from({ length: due - sent }).forEach(() => pending.push(this.sendOne()));
      if (elapsed >= seconds) return;
      await wait(STEP_MS);
      await step(due);
    };
    await step(0);
    await Promise.all(pending);
  }

  /** Keeps a number of requests going for some seconds and returns the answers a second. */
  async runSaturated(concurrency: number, seconds: number): Promise<number> {
    const startedAt = performance.now();
    const endsAt = startedAt + seconds * 1000;
    const before = this.tally.answered;
    const sendNext = async (): Promise<void> => {
      if (performance.now() >= endsAt) return;
      await this.sendOne();
      await sendNext();
    };
    await Promise.all(Array.from({ length: concurrency }, sendNext));
    const elapsed = (performance.now() - startedAt) / 1000;
    return (this.tally.answered - before) / elapsed;
  }

  async sendOne(): Promise<void> {
    this.#count += 1;
    const id = `${this.#name}-${this.#count}`;
    const books = this.#count % BOOK_EVERY === 0;
    this.sent.push({ id, books });
    const sentAt = performance.now();
    const response = await sendHttp(this.#getUrl(this.#count), {
      dispatcher: this.#agent,
      method: books ? 'POST' : 'GET',
      headers: {
        'baobabline-customer': this.#customer,
        'baobabline-kind': books ? 'book' : 'read',
        'x-request-id': id,
      },
    });
    const text = await response.body.text();
    const elapsedMs = performance.now() - sentAt;
    this.latency.recordValue(Math.max(1, Math.round(elapsedMs * MICROSECONDS_PER_MS)));
    const refused = response.headers['baobabline-refused'] !== undefined;
    const crossed = !refused && !text.includes(`"requestId":"${id}"`);
    const { tally } = this;
    this.tally = {
      requests: tally.requests + 1,
      answered: tally.answered + (refused ? 0 : 1),
      refused: tally.refused + (refused ? 1 : 0),
      crossed: tally.crossed + (crossed ? 1 : 0),
    };
  }
}
