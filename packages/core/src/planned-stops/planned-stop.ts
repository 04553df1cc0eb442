/**
 * The planned stop of a daemon as a state machine. A daemon that stops answers what it has read, takes
 * nothing that it can't finish, and has ended before it would be killed. docs/design/planned-stops.md
 * says for each state what becomes of a connection.
 *
 * The daemon asks for each request whether it may be taken, and calls `advance` regularly. It carries
 * out the state that it gets in the same turn of the event loop, so that nothing happens between a
 * decision and what follows from it.
 */

/**
 * `draining`: requests are taken that can end in time. `refusing`: none are taken any more; what has
 * been taken is answered. `closing`: connections are closed as their last answers have been taken.
 * `ended`: what is still open is cut.
 */
export type StopState = 'draining' | 'refusing' | 'closing' | 'ended';

/** Moments of a planned stop, in milliseconds since the signal. */
export type StopBounds = {
  /** Until then callers may use a directory response that names this daemon. */
  readonly holdMs: number;
  /** A request is taken only if its deadline is not later than this. */
  readonly lastDeadlineMs: number;
  /** What has no answer by then gets a failure in its place. */
  readonly answerMs: number;
  /** The process ends. */
  readonly endMs: number;
};

/** What is still open at a daemon. */
export type OpenWork = {
  readonly requests: number;
  readonly connections: number;
};

/** Time for the last answers to be taken by their callers before the process ends. */
const ANSWER_MARGIN_MS = 500;
/** The users count an answer that is broken off before this part of the grace as a request cut. */
const MAX_ANSWER_MARGIN_SHARE = 1 / 6;
/** Time to end the process before it would be killed. */
const END_MARGIN_MS = 300;
const MAX_END_MARGIN_SHARE = 1 / 15;
/** A request that ends at its deadline is answered a little later. */
const DEADLINE_MARGIN_MS = 100;
const MAX_DEADLINE_MARGIN_SHARE = 1 / 60;
/** Between two calls of `advance` the event loop reads what has come. */
const REFUSING_TURNS = 5;
/** A daemon that was stalled beyond a bound reads what came meanwhile before it acts on the bound. */
const LATE_TURNS = 2;
/** Callers that do not close their side of a connection hold up the end for this long. */
const MAX_CLOSING_MS = 500;

/**
 * Computes the moments of a stop from the time until the process is killed and the time for which
 * callers hold directory responses, both in milliseconds.
 */
export function computeStopBounds(graceMs: number, directoryHoldMs: number): StopBounds {
  const answerMs = graceMs - Math.min(ANSWER_MARGIN_MS, graceMs * MAX_ANSWER_MARGIN_SHARE);
  const lastDeadlineMs =
    answerMs - Math.min(DEADLINE_MARGIN_MS, graceMs * MAX_DEADLINE_MARGIN_SHARE);
  const endMs = graceMs - Math.min(END_MARGIN_MS, graceMs * MAX_END_MARGIN_SHARE);
  return { holdMs: Math.min(directoryHoldMs, answerMs), lastDeadlineMs, answerMs, endMs };
}

export class PlannedStop {
  readonly #bounds: StopBounds;

  readonly #startedAt: number;

  #state: StopState = 'draining';

  #stateSince: number;

  #refusingTurns = 0;

  /** `now` is the moment of the signal; all moments are in milliseconds of one clock. */
  constructor(bounds: StopBounds, now: number) {
    this.#bounds = bounds;
    this.#startedAt = now;
    this.#stateSince = now;
  }

  get state(): StopState {
    return this.#state;
  }

  get startedAt(): number {
    return this.#startedAt;
  }

  /** Whether a request that has come whole may be passed on; `endAt` is its deadline. */
  mayTake(endAt: number): boolean {
    return this.#state === 'draining' && endAt <= this.#startedAt + this.#bounds.lastDeadlineMs;
  }

  /** Whether requests that have no answer yet are to be ended with a failure. */
  shouldFailRequests(now: number): boolean {
    return this.#refusingTurns >= LATE_TURNS && now >= this.#startedAt + this.#bounds.answerMs;
  }

  /** Moves on as far as time and open work allow, by one state at most. */
  advance(now: number, open: OpenWork): StopState {
    if (this.#state === 'draining') this.#advanceDraining(now, open);
    else if (this.#state === 'refusing') this.#advanceRefusing(now, open);
    else if (this.#state === 'closing') this.#advanceClosing(now, open);
    return this.#state;
  }

  #advanceDraining(now: number, { requests }: OpenWork): void {
    const { holdMs, answerMs } = this.#bounds;
    const elapsedMs = now - this.#startedAt;
    if (elapsedMs >= answerMs || (elapsedMs >= holdMs && requests === 0)) {
      this.#setState('refusing', now);
    }
  }

  #advanceRefusing(now: number, { requests }: OpenWork): void {
    this.#refusingTurns += 1;
    if (this.#isOver(now) && this.#refusingTurns > LATE_TURNS) this.#setState('ended', now);
    else if (this.#refusingTurns >= REFUSING_TURNS && requests === 0)
      this.#setState('closing', now);
  }

  #advanceClosing(now: number, { connections }: OpenWork): void {
    const hasWaited = now - this.#stateSince >= MAX_CLOSING_MS;
    if (connections === 0 || hasWaited || this.#isOver(now)) this.#setState('ended', now);
  }

  #isOver(now: number): boolean {
    return now >= this.#startedAt + this.#bounds.endMs;
  }

  #setState(state: StopState, now: number): void {
    this.#state = state;
    this.#stateSince = now;
  }
}
