/**
 * Divides the slack of the fleet's retry budget among the daemons without communication about it.
 *
 * Load pattern: all upstreams of a service shed more than half of the requests for seconds. Only the
 * dispatchers, a dozen of hundreds of daemons, receive requests; an equal part for every daemon that
 * may exist leaves nearly all of the slack unused.
 *
 * Most of the slack is divided among the dispatchers in proportion to their capacity, by which
 * callers are distributed over them too. A small part is divided among all daemons that may exist,
 * for requests that reach a daemon before or after it is a dispatcher. A process that has just
 * started takes an equal part of the whole slack. What keeps the sum of all shares at the slack:
 * - The slack counts within a window, so that a daemon which loses its share may have used it up
 *   just before. A share therefore falls at once, and rises only after this daemon's view has called
 *   for it for a whole window and the time in which a change reaches every daemon.
 * - A daemon that has just started or was suspended has no share of a dispatcher for the same time.
 * - A daemon that is cut off from others uses only the part of the fleet that it sees.
 * - The rest is left for processes that start: an eighth of the daemons may do so within a window. If
 *   all start together, only those that then receive requests use their parts.
 */
import type { Clock } from '../runtime/index.js';

export type SlackDispatcher = {
  readonly id: string;
  /** Requests per second that it can handle. */
  readonly capacity: number;
};

export type RetrySlackSharesPorts = {
  readonly clock: Clock;
  /** The window of the retry budget, in milliseconds. */
  readonly windowMs: number;
  /** All dispatchers, this daemon included if it is one. */
  readonly listDispatchers: () => readonly SlackDispatcher[];
  /**
   * Part of the fleet that this daemon has seen for some seconds, from 0 to 1; 0 if it has just
   * started or was suspended.
   */
  readonly getVisiblePart: () => number;
  /** Counts the daemons that may exist. */
  readonly countDaemons: () => number;
};

/** Part of the slack that is divided among the dispatchers. */
const DISPATCHERS_PART = 0.8;
/** Part of the slack that is divided among all daemons; what is left covers those that start. */
const COMMON_PART = 0.075;
/** Covers the time in which a change of the dispatchers reaches every daemon. */
const SETTLE_MS = 3000;

/** The dispatcher's share that this daemon's view called for from a time on. */
type View = { readonly since: number; readonly share: number };

export class RetrySlackShares {
  readonly #selfId: string;

  readonly #ports: RetrySlackSharesPorts;

  /** Views that still count, oldest first. */
  #views: readonly View[];

  /** Until then this daemon cannot have the share of a dispatcher. */
  readonly #startingUntil: number;

  constructor(selfId: string, ports: RetrySlackSharesPorts) {
    this.#selfId = selfId;
    this.#ports = ports;
    const now = ports.clock.now();
    this.#views = [{ since: now, share: 0 }];
    this.#startingUntil = now + ports.windowMs + 2 * SETTLE_MS;
  }

  /** Returns the part of the slack that this daemon may use within a window, from 0 to 1. */
  getShare(): number {
    this.refresh();
    return this.#computeEqualPart() + Math.min(...this.#views.map(({ share }) => share));
  }

  /** Brings the view of the fleet up to date; to be called several times a second. */
  refresh(): void {
    const now = this.#ports.clock.now();
    const share = this.#computeDispatcherShare();
    if (share !== this.#views.at(-1)?.share) this.#views = [...this.#views, { since: now, share }];
    if (this.#views.length === 1) return;
    const oldest = now - this.#ports.windowMs - SETTLE_MS;
    this.#views = this.#views.filter((_view, index) => {
      const replacedAt = this.#views[index + 1]?.since ?? Number.POSITIVE_INFINITY;
      return replacedAt > oldest;
    });
  }

  #computeEqualPart(): number {
    const { clock, countDaemons } = this.#ports;
    const part = clock.now() < this.#startingUntil ? 1 : COMMON_PART;
    return part / countDaemons();
  }

  #computeDispatcherShare(): number {
    const { listDispatchers, getVisiblePart } = this.#ports;
    const dispatchers = listDispatchers();
    const own = dispatchers.find(({ id }) => id === this.#selfId);
    if (!own) return 0;
    const total = dispatchers.reduce((sum, { capacity }) => sum + capacity, 0);
    const part = total > 0 ? own.capacity / total : 1 / dispatchers.length;
    return DISPATCHERS_PART * part * getVisiblePart();
  }
}
