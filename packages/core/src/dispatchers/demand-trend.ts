/**
 * Foresees the demand of one data centre for as long as callers use an old directory answer.
 *
 * Load pattern: demand comes in waves of a period of 17 s, and doubles within 5 s of their rise. A load
 * is known to the others a second later, and callers follow a new choice of dispatchers when their
 * directory answers expire, 1 to 5 s later. Dispatchers that are chosen by the load of the moment are
 * too few throughout the rise.
 *
 * While the demand rises it is expected to go on rising, up to its recent peak. A new peak is not
 * foreseen: advertised loads move in steps, which look like growth.
 */

type Sample = { readonly at: number; readonly rate: number };

/** Longer than the period of a wave. */
const PEAK_MS = 20_000;
/** Shorter, and a step of an advertised load would be taken for growth. */
const GROWTH_MS = 3000;
/** Delay of the load, and the mean life of a directory answer. */
const LEAD_MS = 4000;

export class DemandTrend {
  /** Changes of the demand, the newest last. */
  #samples: readonly Sample[] = [];

  /** Records the demand at a time, and returns what is expected when callers have followed. */
  record(now: number, rate: number): number {
    const recent = this.#samples.filter(({ at }) => at >= now - PEAK_MS);
    this.#samples = recent.at(-1)?.rate === rate ? recent : [...recent, { at: now, rate }];
    const rates = recent.filter(({ at }) => at >= now - GROWTH_MS).map((sample) => sample.rate);
    const growth = ((rate - Math.min(rate, ...rates)) / GROWTH_MS) * LEAD_MS;
    const peak = Math.max(rate, ...recent.map((sample) => sample.rate));
    return Math.min(peak, rate + growth);
  }
}
