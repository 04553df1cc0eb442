/**
 * The requests of one service that other dispatchers have in flight, by their reports.
 *
 * Load pattern: several dispatchers in several data centres see the same free slots up to 300 ms late.
 * Each takes only its part of them, so that the sum fits even if all act at the same moment.
 */
import type { LoadNews, ServiceView } from './types.js';

type KnownNews = LoadNews & { readonly at: number; readonly intervalMs: number };

/** What is known of the requests in flight in a data centre. */
export type DataCentreLoad = {
  /** From dispatchers of the same data centre. */
  readonly native: number;
  /** From dispatchers of other data centres, this one included. */
  readonly foreign: number;
  /** How far the reports of its dispatchers can be relied on, from 0 to 1. */
  readonly confidence: number;
};

/** Interval between reports from other data centres, until it is measured. */
const USUAL_INTERVAL_MS = 300;
const MAX_INTERVAL_MS = 2000;
const NEWEST_INTERVAL_WEIGHT = 0.2;
/** News is relied on fully for this many usual intervals, so that a lost report has no effect. */
const FRESH_INTERVALS = 2;
/** Age in intervals, beyond the fresh ones, at which confidence has fallen to about a third. */
const CONFIDENCE_DECAY_INTERVALS = 2;
/** News that is older is forgotten: its dispatcher has stopped or handles no more callers. */
const MAX_NEWS_AGE_MS = 10_000;
/** Demand, as a share of a data centre's own slots, from which it may need others. */
const DEMAND_WITHOUT_NEED = 0.95;
/** Weight of a data centre without need, so that a sudden need finds some room. */
const MIN_NEED = 0.02;

function sumValues(values: Iterable<number>): number {
  return [...values].reduce((sum, value) => sum + value, 0);
}

export class FleetLoads {
  readonly #news = new Map<string, KnownNews>();

  readonly #dataCentre: string;

  readonly #startedAt: number;

  constructor(dataCentre: string, now: number) {
    this.#dataCentre = dataCentre;
    this.#startedAt = now;
  }

  record(news: LoadNews, now: number): void {
    const known = this.#news.get(news.dispatcherId);
    const elapsedMs = known ? Math.min(now - known.at, MAX_INTERVAL_MS) : USUAL_INTERVAL_MS;
    const before = known?.intervalMs ?? USUAL_INTERVAL_MS;
    const intervalMs = Math.max(
      USUAL_INTERVAL_MS,
      before + (elapsedMs - before) * NEWEST_INTERVAL_WEIGHT,
    );
    this.#news.set(news.dispatcherId, { ...news, at: now, intervalMs });
  }

  /** Forgets dispatchers that have not reported for long. */
  expire(now: number): void {
    this.#news.forEach(({ at }, id) => {
      if (now - at > MAX_NEWS_AGE_MS) this.#news.delete(id);
    });
  }

  describe(dataCentre: string, view: ServiceView, now: number): DataCentreLoad {
    const row = view.dataCentres.find((one) => one.dataCentre === dataCentre);
    const own = row?.ownInFlight ?? 0;
    const natives = this.#listNews(dataCentre);
    const others = [...this.#news.values()].filter((news) => news.dataCentre !== dataCentre);
    const countAt = (rows: readonly LoadNews[]): number =>
      rows.reduce((sum, { inFlight }) => sum + (inFlight.get(dataCentre) ?? 0), 0);
    const isNear = dataCentre === this.#dataCentre;
    return {
      native: countAt(natives) + (isNear ? own : 0),
      foreign: countAt(others) + (isNear ? 0 : own),
      confidence:
        isNear || row?.hasDispatcher === false ? 1 : this.#computeConfidence(natives, now),
    };
  }

  /**
   * Computes this dispatcher's part, from 0 to 1, of the slots that a data centre can spare: by the
   * need of the data centres, and within one by the requests that each dispatcher has in flight.
   */
  computePart(target: string, view: ServiceView): number {
    const needs = view.dataCentres
      .filter(({ dataCentre }) => dataCentre !== target)
      .map(({ dataCentre, slots }) => ({
        dataCentre,
        need: this.#computeNeed(dataCentre, slots, view),
      }));
    const total = needs.reduce((sum, { need }) => sum + need, 0);
    const own = needs.find(({ dataCentre }) => dataCentre === this.#dataCentre)?.need ?? 0;
    return total === 0 ? 0 : (own / total) * this.#computeOwnPart(view);
  }

  /** This dispatcher's part of the requests of its data centre. */
  #computeOwnPart(view: ServiceView): number {
    const own = Math.max(1, this.#sumOwn(view));
    const others = this.#listNews(this.#dataCentre).reduce(
      (sum, { inFlight }) => sum + sumValues(inFlight.values()),
      0,
    );
    return own / (own + others);
  }

  #computeNeed(dataCentre: string, slots: number, view: ServiceView): number {
    const reported = this.#listNews(dataCentre).reduce(
      (sum, { inFlight }) => sum + sumValues(inFlight.values()),
      0,
    );
    const demand = reported + (dataCentre === this.#dataCentre ? this.#sumOwn(view) : 0);
    if (demand === 0) return 0;
    const need = slots === 0 ? 1 : demand / slots - DEMAND_WITHOUT_NEED;
    return Math.min(1, Math.max(MIN_NEED, need));
  }

  #sumOwn(view: ServiceView): number {
    return view.dataCentres.reduce((sum, { ownInFlight }) => sum + ownInFlight, 0);
  }

  #listNews(dataCentre: string): readonly KnownNews[] {
    return [...this.#news.values()].filter((news) => news.dataCentre === dataCentre);
  }

  /** Reports are sent when the load changes, so that an empty report stays true until the next. */
  #computeConfidence(natives: readonly KnownNews[], now: number): number {
    const rows =
      natives.length > 0
        ? natives
        : [{ at: this.#startedAt, intervalMs: USUAL_INTERVAL_MS, inFlight: undefined }];
    const confidences = rows.map(({ at, intervalMs, inFlight }) => {
      if (inFlight && sumValues(inFlight.values()) === 0) return 1;
      const lateness = (now - at) / intervalMs - FRESH_INTERVALS;
      return Math.exp(-Math.max(0, lateness) / CONFIDENCE_DECAY_INTERVALS);
    });
    return sumValues(confidences) / confidences.length;
  }
}
