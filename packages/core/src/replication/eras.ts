/**
 * Orders what was read from a store that may come back from an older copy. Each such restore begins
 * an era. The copy ends at a revision of the era before, and the store continues from there, so that
 * later revisions exist twice. Where in a new era the copy ends is not known exactly. The lowest
 * revision that any daemon saw the store at in that era is an upper bound, and a revision that holds
 * something else than it did in the era before lies behind the end of the copy.
 *
 * What was read in an era at a revision up to that bound counts as written in an era before it. The
 * order is therefore the same on all daemons as soon as they know the same bounds, which only fall
 * and are exchanged with the records.
 */
import type { KnownRevisions } from './known-revisions.js';

/** Where a record stands in the history of the store. */
export type StorePosition = {
  /** Era of the store in which it was read. */
  readonly era: number;
  readonly revision: number;
};

/** Era and upper bound of the revision at which its copy ends. */
export type EraStarts = KnownRevisions;

/** Eras that are remembered; records that were read before the first one count as read in it. */
export const MAX_KNOWN_ERAS = 8;
/** An era so far ahead of the known ones is no restore but a damaged value. */
const MAX_ERA_STEP = 1000;

export class StoreEras {
  /** Sorted by era, the newest first. */
  #starts: readonly (readonly [era: number, copyEnd: number])[] = [];

  /** The newest era; undefined before the first answer of the store. */
  get newest(): number | undefined {
    return this.#starts[0]?.[0];
  }

  /** Lists the eras with their bounds, the newest first. */
  list(): EraStarts {
    return this.#starts.map(([era, copyEnd]) => [era, copyEnd]);
  }

  /** Whether an era can follow the known ones. */
  isPlausible(era: number): boolean {
    if (!Number.isSafeInteger(era) || era < 0) return false;
    return this.newest === undefined || era <= this.newest + MAX_ERA_STEP;
  }

  /**
   * Records that the copy behind an era ends at this revision at the latest. Returns whether this
   * changes the bounds. Implausible eras are ignored.
   */
  recordStart(era: number, revision: number): boolean {
    if (!this.isPlausible(era)) return false;
    const known = this.#starts.find(([one]) => one === era);
    if (known && known[1] <= revision) return false;
    this.#starts = [...this.#starts.filter(([one]) => one !== era), [era, revision] as const]
      .sort(([left], [right]) => right - left)
      .slice(0, MAX_KNOWN_ERAS);
    return true;
  }

  /** Whether these eras are known, with bounds that are as low; the first one's bound has no effect. */
  hasAll(eras: EraStarts): boolean {
    const hasEra = ([era, copyEnd]: EraStarts[number]): boolean =>
      this.#starts.some(
        ([one, bound]) => one === era && (bound <= copyEnd || this.findPrevious(era) === undefined),
      );
    return eras.every(hasEra);
  }

  /** The era before; undefined for the first one that is known. */
  findPrevious(era: number): number | undefined {
    return this.#starts.find(([one]) => one < era)?.[0];
  }

  /** Whether a record may come from the copy with which its era began. */
  mayBeCopied({ era, revision }: StorePosition): boolean {
    const start = this.#starts.find(([one]) => one === era);
    return start !== undefined && revision <= start[1] && this.findPrevious(era) !== undefined;
  }

  /** Computes the era in which a record was written, as far as the bounds show it. */
  computeOrigin({ era, revision }: StorePosition): number {
    const previous = this.#starts.filter(([one]) => one <= era);
    const writtenIn = previous.find(([, copyEnd]) => revision > copyEnd);
    return (writtenIn ?? previous.at(-1))?.[0] ?? era;
  }

  /** Compares two positions by the order in which they were written; negative if `left` is older. */
  comparePositions(left: StorePosition, right: StorePosition): number {
    return this.computeOrigin(left) - this.computeOrigin(right) || left.revision - right.revision;
  }
}
