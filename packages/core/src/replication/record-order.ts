/**
 * Decides which of two records of a key is newer. Usually their places in the history of the store
 * decide. While it is open whether one of them was written after a restore or came with the copy, it
 * is decided by what they hold.
 */
import type { StoreEras } from './eras.js';
import type { PublishedRecord, RegisteredUpstream } from './types.js';

/** A record as far as its order depends on it. */
export type OrderedRecord = Pick<PublishedRecord, 'era' | 'revision' | 'upstream'> & {
  readonly configuration?: { readonly version: number } | undefined;
};

/** Compares two starts of an upstream, or two states of one start, which never goes back to `ready`. */
function compareUpstreams(left: RegisteredUpstream, right: RegisteredUpstream): number {
  const isDraining = ({ state }: RegisteredUpstream): number => Number(state === 'draining');
  return left.bornAt - right.bornAt || isDraining(left) - isDraining(right);
}

export class RecordOrder {
  readonly #eras: StoreEras;

  constructor(eras: StoreEras) {
    this.#eras = eras;
  }

  /** Whether a record is newer than the known one of its key. */
  isNewer(record: OrderedRecord, known: OrderedRecord): boolean {
    const steps = known.configuration
      ? this.#listConfigurationSteps(record, known)
      : this.#listUpstreamSteps(record, known);
    const decisive = [...steps, record.revision - known.revision].find((step) => step !== 0);
    return decisive !== undefined && decisive > 0;
  }

  /**
   * The version decides, in whatever era it was written: operators write again what a restore has lost, the
   * earlier versions before the later ones, and none of these replaces a higher version. A removal never
   * ends the configuration in force.
   */
  #listConfigurationSteps(record: OrderedRecord, known: OrderedRecord): readonly number[] {
    if (!record.configuration || !known.configuration) return [-1];
    const versionStep = record.configuration.version - known.configuration.version;
    return this.#isOpen(record, known)
      ? [versionStep]
      : [versionStep, this.#compareOrigins(record, known)];
  }

  #listUpstreamSteps(record: OrderedRecord, known: OrderedRecord): readonly number[] {
    const originStep = this.#compareOrigins(record, known);
    const hasUpstreams = record.upstream && known.upstream && this.#isOpen(record, known);
    return hasUpstreams
      ? [compareUpstreams(record.upstream, known.upstream), originStep]
      : [originStep];
  }

  #compareOrigins(left: OrderedRecord, right: OrderedRecord): number {
    return this.#eras.computeOrigin(left) - this.#eras.computeOrigin(right);
  }

  /** Whether the record from the later era may or may not have come with the copy of that era. */
  #isOpen(left: OrderedRecord, right: OrderedRecord): boolean {
    return left.era !== right.era && this.#eras.mayBeCopied(left.era > right.era ? left : right);
  }
}
