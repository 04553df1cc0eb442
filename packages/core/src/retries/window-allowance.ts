/**
 * A bound on repeats for the fleet as a whole that needs no talk between daemons.
 *
 * Load pattern: a service that turns requests away everywhere, so that every daemon wants to
 * repeat all of its requests at once. The users allow so many repeats for each request of a
 * window, and some more. Each daemon takes the first part from the requests that it has itself
 * taken in, and of the second part the share of one daemon among all that may exist; whatever the
 * partitions and restarts, the sum stays within the bound.
 */
import type { Clock } from '../runtime/index.js';

export type WindowAllowanceSettings = {
  readonly windowMs: number;
  /** Repeats allowed for each request taken in within the window. */
  readonly ratio: number;
  /** Repeats allowed to the whole fleet on top. */
  readonly fleetSlack: number;
  /** Counts the daemons among which the slack is divided: all that may take requests in. */
  readonly countDaemons: () => number;
};

/** Windows slide: time is cut into so many parts for counting. */
const PARTS = 20;
/** Keeps clear of the bound where windows of the bound and of the count do not match. */
const SAFETY = 0.9;

type Part = { readonly index: number; readonly requests: number; readonly repeats: number };

export class WindowAllowance {
  readonly #clock: Clock;

  readonly #settings: WindowAllowanceSettings;

  #parts: readonly Part[] = [];

  constructor(settings: WindowAllowanceSettings, clock: Clock) {
    this.#settings = settings;
    this.#clock = clock;
  }

  recordRequest(): void {
    this.#add(1, 0);
  }

  /** Takes a repeat out of the allowance if there is one left. */
  takeRepeat(): boolean {
    if (this.countLeft() < 1) return false;
    this.#add(0, 1);
    return true;
  }

  /** Repeats that may still be made now. */
  countLeft(): number {
    const { total, spent } = this.#computeState();
    return total - spent;
  }

  /** The part of the allowance that is left, from 0 to 1. */
  getShareLeft(): number {
    const { total, spent } = this.#computeState();
    return total < 1 ? 0 : Math.max(0, (total - spent) / total);
  }

  #computeState(): { readonly total: number; readonly spent: number } {
    const { ratio, fleetSlack, countDaemons } = this.#settings;
    const parts = this.#listCurrent();
    const requests = parts.reduce((sum, part) => sum + part.requests, 0);
    const spent = parts.reduce((sum, part) => sum + part.repeats, 0);
    return { total: (requests * ratio + fleetSlack / countDaemons()) * SAFETY, spent };
  }

  #computeIndex(): number {
    return Math.floor((this.#clock.now() * PARTS) / this.#settings.windowMs);
  }

  #listCurrent(): readonly Part[] {
    const oldest = this.#computeIndex() - PARTS;
    return this.#parts.filter(({ index }) => index >= oldest);
  }

  #add(requests: number, repeats: number): void {
    const index = this.#computeIndex();
    const last = this.#parts.at(-1);
    if (last?.index === index) {
      const merged = { index, requests: last.requests + requests, repeats: last.repeats + repeats };
      this.#parts = [...this.#parts.slice(0, -1), merged];
      return;
    }
    this.#parts = [...this.#listCurrent(), { index, requests, repeats }];
  }
}
