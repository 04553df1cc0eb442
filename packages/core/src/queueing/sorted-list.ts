/**
 * A list of entries in ascending order of a key; entries with the same key stay in the order of their
 * serial numbers. To add, remove and count take a binary search.
 */
export type Keyed = {
  readonly key: number;
  /** Differs between any two entries of a list. */
  readonly serial: number;
};

export class SortedList<Item extends Keyed> {
  readonly #items: Item[] = [];

  get size(): number {
    return this.#items.length;
  }

  get first(): Item | undefined {
    return this.#items[0];
  }

  list(): readonly Item[] {
    return this.#items;
  }

  add(item: Item): void {
    this.#items.splice(this.#findIndex(item), 0, item);
  }

  /** Removes an entry; returns whether it was in the list. */
  remove(item: Keyed): boolean {
    const index = this.#findIndex(item);
    const isFound = this.#items[index]?.serial === item.serial;
    if (isFound) this.#items.splice(index, 1);
    return isFound;
  }

  /** Counts the entries whose key is at most `key`. */
  countUpTo(key: number): number {
    return this.#findIndex({ key, serial: Number.POSITIVE_INFINITY });
  }

  /** Counts the entries whose key is less than `key`. */
  countBelow(key: number): number {
    return this.#findIndex({ key, serial: Number.NEGATIVE_INFINITY });
  }

  /** Removes and returns the first entries. */
  takeFirst(count: number): readonly Item[] {
    return count === 0 ? [] : this.#items.splice(0, count);
  }

  /** Finds the index of the first entry that is not before the given one. */
  #findIndex(wanted: Keyed, from = 0, to = this.#items.length): number {
    if (from >= to) return from;
    const middle = Math.floor((from + to) / 2);
    const item = this.#items[middle];
    const isBefore =
      item !== undefined &&
      (item.key < wanted.key || (item.key === wanted.key && item.serial < wanted.serial));
    return isBefore
      ? this.#findIndex(wanted, middle + 1, to)
      : this.#findIndex(wanted, from, middle);
  }
}
