/**
 * An in-memory table of rows by id. Rows are read-only; a change replaces the row by a new one.
 * The parts of the core that run on each tick exchange data only through tables.
 */

export type Row = { readonly id: string };

export class Table<TableRow extends Row> {
  readonly #rows = new Map<string, TableRow>();

  #cachedList: readonly TableRow[] | undefined;

  /** Increases with every change, so that users of derived state can tell if it is out of date. */
  revision = 0;

  get size(): number {
    return this.#rows.size;
  }

  get(id: string): TableRow | undefined {
    return this.#rows.get(id);
  }

  has(id: string): boolean {
    return this.#rows.has(id);
  }

  put(row: TableRow): void {
    this.#rows.set(row.id, row);
    this.#markChanged();
  }

  remove(id: string): boolean {
    const removed = this.#rows.delete(id);
    if (removed) this.#markChanged();
    return removed;
  }

  /** All rows in insertion order. The same array is returned until the table changes. */
  list(): readonly TableRow[] {
    this.#cachedList ??= [...this.#rows.values()];
    return this.#cachedList;
  }

  /** Replaces all rows by the given ones. */
  replaceAll(rows: readonly TableRow[]): void {
    this.#rows.clear();
    rows.forEach((row) => this.#rows.set(row.id, row));
    this.#markChanged();
  }

  #markChanged(): void {
    this.#cachedList = undefined;
    this.revision += 1;
  }
}
