/**
 * Expected sizes of answers by route, learned from the answers that came.
 *
 * Load pattern: answers of 90 KB on average and up to 540 KB. The sum of many is known from the mean; a
 * single one may be several times as large, so that what is reserved for it is an upper estimate: the
 * mean plus a multiple of the mean deviation, as TCP estimates its retransmission timeout.
 */

export type AnswerSize = {
  readonly meanBytes: number;
  /** Nine of ten answers are smaller where sizes are distributed exponentially. */
  readonly highBytes: number;
};

type Moments = { readonly mean: number; readonly deviation: number };

/** Weight of the newest answer; one of about the last fifty counts. */
const NEWEST_WEIGHT = 0.04;
/** Mean deviations that the upper estimate lies above the mean. */
const HIGH_DEVIATIONS = 2;
/** Assumed until the first answer of a route. */
const INITIAL: Moments = { mean: 64 * 1024, deviation: 64 * 1024 };

export class AnswerSizes {
  readonly #moments = new Map<string, Moments>();

  /** Records the size of the body of a good answer. */
  record(routeId: string, bytes: number): void {
    const known = this.#moments.get(routeId);
    if (!known) {
      this.#moments.set(routeId, { mean: bytes, deviation: bytes / 2 });
      return;
    }
    const error = bytes - known.mean;
    this.#moments.set(routeId, {
      mean: known.mean + error * NEWEST_WEIGHT,
      deviation: known.deviation + (Math.abs(error) - known.deviation) * NEWEST_WEIGHT,
    });
  }

  getExpected(routeId: string): AnswerSize {
    const { mean, deviation } = this.#moments.get(routeId) ?? INITIAL;
    return {
      meanBytes: Math.round(mean),
      highBytes: Math.round(mean + HIGH_DEVIATIONS * deviation),
    };
  }

  /** Forgets all routes but the named. */
  keep(routeIds: ReadonlySet<string>): void {
    [...this.#moments.keys()]
      .filter((id) => !routeIds.has(id))
      .forEach((id) => this.#moments.delete(id));
  }
}
