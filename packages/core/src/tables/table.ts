/**
 * The table that all entities live in. Rows are read-only; a change puts a new row in the place
 * of the old one. Systems run over tables each tick and meet only there.
 */

export type Row = { readonly id: string };

export class Table<Entity extends Row> {
  readonly #rows = new Map<string, Entity>();

  #list: readonly Entity[] | undefined;

  /** Grows with every change, so that derived state can tell whether it is out of date. */
  revision = 0;

  get size(): number {
    return this.#rows.size;
  }

  get(id: string): Entity | undefined {
    return this.#rows.get(id);
  }

  has(id: string): boolean {
    return this.#rows.has(id);
  }

  put(row: Entity): void {
    this.#rows.set(row.id, row);
    this.#markChanged();
  }

  remove(id: string): boolean {
    const removed = this.#rows.delete(id);
    if (removed) this.#markChanged();
    return removed;
  }

  /** All rows in order of arrival. The same array is returned until the table changes. */
  list(): readonly Entity[] {
    this.#list ??= [...this.#rows.values()];
    return this.#list;
  }

  /** Puts the given rows in the place of all rows the table has. */
  replaceAll(rows: readonly Entity[]): void {
    this.#rows.clear();
    rows.forEach((row) => this.#rows.set(row.id, row));
    this.#markChanged();
  }

  #markChanged(): void {
    this.#list = undefined;
    this.revision += 1;
  }
}
