/**
 * Which other daemons decode the records of the store as this one does. A daemon of another version may
 * leave out what it does not know, so that its records are not what the store holds; a follower could
 * not tell, as revisions and versions are the same. Such a daemon is no source of records or leases.
 */
import { RECORD_FORMAT } from '@baobabline/core';
import type { Member } from '@baobabline/core';

/** `same`: as here; `foreign`: in another way; `unknown` until a daemon has said so since its start. */
export type PeerFormat = 'same' | 'foreign' | 'unknown';

type KnownFormat = { readonly incarnation: number; readonly format: number | undefined };

export class PeerFormats {
  readonly #known = new Map<string, KnownFormat>();

  /** Whether any daemon is known to decode records in another way, as during an upgrade. */
  get hasForeign(): boolean {
    return [...this.#known.values()].some(({ format }) => format !== RECORD_FORMAT);
  }

  /** Records the format that a daemon has stated; versions before the first format state none. */
  record({ id, incarnation }: Member, format: number | undefined): void {
    this.#known.set(id, { incarnation, format });
  }

  judge({ id, incarnation }: Member): PeerFormat {
    const known = this.#known.get(id);
    if (known?.incarnation !== incarnation) return 'unknown';
    return known.format === RECORD_FORMAT ? 'same' : 'foreign';
  }

  /** Forgets the daemons that are not among these, or have started again since. */
  keep(members: readonly Member[]): void {
    const incarnations = new Map(members.map(({ id, incarnation }) => [id, incarnation]));
    [...this.#known]
      .filter(([id, { incarnation }]) => incarnations.get(id) !== incarnation)
      .forEach(([id]) => this.#known.delete(id));
  }
}
