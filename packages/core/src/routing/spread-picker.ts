/**
 * Keeps the best daemons of each data centre for one key, so that choosing a few of many takes one
 * pass and no sorting of all.
 */
import type { Placeable } from './types.js';

type Scored<Item> = { readonly item: Item; readonly score: number };

function compareScored(left: Scored<Placeable>, right: Scored<Placeable>): number {
  return right.score - left.score || (left.item.id < right.item.id ? -1 : 1);
}

export class SpreadPicker<Item extends Placeable> {
  readonly #count: number;

  readonly #bestByDataCentre = new Map<string, readonly Scored<Item>[]>();

  constructor(count: number) {
    this.#count = count;
  }

  offer(item: Item, score: number): void {
    const best = this.#bestByDataCentre.get(item.dataCentre) ?? [];
    const worst = best[this.#count - 1];
    const candidate = { item, score };
    if (worst && compareScored(worst, candidate) < 0) return;
    const kept = [...best, candidate].sort(compareScored).slice(0, this.#count);
    this.#bestByDataCentre.set(item.dataCentre, kept);
  }

  /** The first of each data centre, then the second of each, and so on. */
  choose(): readonly Item[] {
    return [...this.#bestByDataCentre.values()]
      .flatMap((best) => best.map((scored, place) => ({ scored, place })))
      .sort((left, right) => left.place - right.place || compareScored(left.scored, right.scored))
      .slice(0, this.#count)
      .map(({ scored }) => scored.item);
  }
}
