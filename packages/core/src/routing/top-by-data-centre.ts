/**
 * Keeps the daemons with the highest scores in each data centre, so that choosing a few out of
 * many takes one pass and does not sort them all.
 */
import type { DaemonLocation } from './types.js';

type Scored<Item> = { readonly item: Item; readonly score: number };

function compareScored(left: Scored<DaemonLocation>, right: Scored<DaemonLocation>): number {
  return right.score - left.score || (left.item.id < right.item.id ? -1 : 1);
}

export class TopByDataCentre<Item extends DaemonLocation> {
  readonly #count: number;

  readonly #bestByDataCentre = new Map<string, readonly Scored<Item>[]>();

  constructor(count: number) {
    this.#count = count;
  }

  add(item: Item, score: number): void {
    const best = this.#bestByDataCentre.get(item.dataCentre) ?? [];
    const worst = best[this.#count - 1];
    const candidate = { item, score };
    if (worst && compareScored(worst, candidate) < 0) return;
    const kept = [...best, candidate].sort(compareScored).slice(0, this.#count);
    this.#bestByDataCentre.set(item.dataCentre, kept);
  }

  /** Chooses the best of each data centre, then the second best of each, up to `count` items. */
  choose(): readonly Item[] {
    return [...this.#bestByDataCentre.values()]
      .flatMap((best) => best.map((scored, rank) => ({ scored, rank })))
      .sort((left, right) => left.rank - right.rank || compareScored(left.scored, right.scored))
      .slice(0, this.#count)
      .map(({ scored }) => scored.item);
  }
}
