/**
 * Keeps a less urgent kind of request from being served more often than a more urgent one.
 *
 * Load pattern: a service is short of capacity for seconds, and its more urgent kind has a longer
 * target latency than a less urgent one. The queue is ordered by due time, which priority only shifts,
 * so that the less urgent requests, due sooner, would take the slots and the others would be refused.
 *
 * While a smaller part of the requests of a more urgent kind is served, requests of a less urgent kind
 * yield to it. Both parts then converge, so that neither starves.
 */
import type { Clock } from '../runtime/index.js';

/** Age at which an outcome counts for about a third (1/e). */
const TIME_CONSTANT_MS = 2000;
/** By this much less of a more urgent kind may be served, so that single requests decide nothing. */
const TOLERANCE = 0.02;
/** A kind with fewer refusals than this, after decay, is not short of capacity. */
const MIN_REFUSED = 2;
/** Verdicts are reached again after this time. */
const MAX_AGE_MS = 50;

type Outcomes = { readonly served: number; readonly refused: number; readonly at: number };

export class ServedShares {
  readonly #clock: Clock;

  readonly #outcomes = new Map<number, Outcomes>();

  #yielding: { readonly at: number; readonly priorities: ReadonlySet<number> } = {
    at: Number.NEGATIVE_INFINITY,
    priorities: new Set(),
  };

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that a request of a priority was sent to an upstream, or refused for want of slots. */
  record(priority: number, isServed: boolean): void {
    const { served, refused } = this.#decay(priority);
    this.#outcomes.set(priority, {
      served: served + Number(isServed),
      refused: refused + Number(!isServed),
      at: this.#clock.now(),
    });
  }

  /** Whether requests of a priority should yield to those of a more urgent one. */
  shouldYield(priority: number): boolean {
    const at = this.#clock.now();
    if (at - this.#yielding.at >= MAX_AGE_MS) {
      const priorities = [...this.#outcomes.keys()].filter((one) => this.#isServedMore(one));
      this.#yielding = { at, priorities: new Set(priorities) };
    }
    return this.#yielding.priorities.has(priority);
  }

  #isServedMore(priority: number): boolean {
    const own = this.#computeServedShare(priority);
    return [...this.#outcomes.keys()].some(
      (other) =>
        other < priority &&
        this.#decay(other).refused >= MIN_REFUSED &&
        this.#computeServedShare(other) + TOLERANCE < own,
    );
  }

  #computeServedShare(priority: number): number {
    const { served, refused } = this.#decay(priority);
    return served + refused === 0 ? 1 : served / (served + refused);
  }

  #decay(priority: number): Outcomes {
    const now = this.#clock.now();
    const { served, refused, at } = this.#outcomes.get(priority) ?? {
      served: 0,
      refused: 0,
      at: now,
    };
    const factor = Math.exp((at - now) / TIME_CONSTANT_MS);
    return { served: served * factor, refused: refused * factor, at: now };
  }
}
