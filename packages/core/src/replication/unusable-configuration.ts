/**
 * Remembers that the store holds a configuration which this daemon cannot use, or none at all, while an
 * earlier one is in force here. Until a usable one is written, what is in force is not what the store
 * holds: no read confirms it, and what it does not list may exist.
 */
import type { StorePosition } from './eras.js';
import type { PublishedRecord } from './types.js';

/** Compares places of one key in the history of the store, where an era begins anew. */
function isLater(left: StorePosition, right: StorePosition): boolean {
  return left.era === right.era ? left.revision > right.revision : left.era > right.era;
}

export class UnusableConfiguration {
  #record: PublishedRecord | undefined;

  /** The record without content that the store holds; undefined if it holds a usable one. */
  get record(): PublishedRecord | undefined {
    return this.#record;
  }

  /** Takes in what the store held under the key of the configuration in force. */
  recordStored(record: PublishedRecord, inForce: StorePosition): void {
    if (record.configuration) {
      if (this.#record && !isLater(this.#record, record)) this.#record = undefined;
    } else if (isLater(record, this.#record ?? inForce)) {
      const { key, era, revision } = record;
      this.#record = { key, era, revision };
    }
  }
}
