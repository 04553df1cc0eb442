/**
 * A request that a listener has taken and not ended yet, and the phase that it is in.
 */
import type { ServedRequest } from '../requests/index.js';

/**
 * `reading`: its body is still coming in. `waiting`: whole, but at no upstream. `at-upstream`: an
 * upstream has it, or may have it. `answering`: its answer has not been taken from this process.
 */
export type RequestPhase = 'reading' | 'waiting' | 'at-upstream' | 'answering';

export const REQUEST_PHASES: readonly RequestPhase[] = [
  'reading',
  'waiting',
  'at-upstream',
  'answering',
];

/** A request that ended with its connection since this daemon closed it. */
export type CutRequest = {
  readonly id: string;
  readonly phase: RequestPhase;
  /** Time since its head came, in milliseconds. */
  readonly ageMs: number;
};

export class OpenRequest {
  readonly #id: string;

  readonly #arrivedAt: number;

  #isWhole = false;

  #isAnswered = false;

  #served: ServedRequest | undefined;

  constructor(id: string, arrivedAt: number) {
    this.#id = id;
    this.#arrivedAt = arrivedAt;
  }

  get phase(): RequestPhase {
    if (this.#isAnswered) return 'answering';
    if (this.#served?.isAtUpstream) return 'at-upstream';
    return this.#isWhole ? 'waiting' : 'reading';
  }

  recordWhole(): void {
    this.#isWhole = true;
  }

  /** What serves it; undefined before it is passed on. */
  get served(): ServedRequest | undefined {
    return this.#served;
  }

  recordServed(served: ServedRequest): void {
    this.#served = served;
  }

  recordAnswered(): void {
    this.#isAnswered = true;
  }

  describe(now: number): CutRequest {
    return { id: this.#id, phase: this.phase, ageMs: Math.round(now - this.#arrivedAt) };
  }
}

/** Counts requests by the phase that they are in. */
export function countByPhase(
  requests: readonly OpenRequest[],
): Readonly<Record<RequestPhase, number>> {
  const phases = requests.map(({ phase }) => phase);
  const rows = REQUEST_PHASES.map((phase) => [phase, phases.filter((one) => one === phase).length]);
  return Object.fromEntries(rows) as Record<RequestPhase, number>;
}
