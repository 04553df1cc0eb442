/**
 * The bytes that a request moves in each direction of the link, its answer included, learned from
 * traffic.
 *
 * Load pattern: one request in eight is a download of 90 KB, so that the link of a small VM is full
 * before its processor. One request moves the mean by a five-hundredth of its bytes, which bounds how
 * fast the advertised load changes: it decides how many dispatchers there are, and each change of it is
 * broadcast.
 */
import { LINK_BYTES_PER_REQUEST } from './capacity.js';

/** Weight of the newest request in the moving average. */
const NEWEST_WEIGHT = 0.002;

export class RequestBytes {
  #mean = LINK_BYTES_PER_REQUEST;

  get mean(): number {
    return this.#mean;
  }

  /** Records the bodies of a request and of its answer. */
  record(bytes: number): void {
    this.#mean += (bytes - this.#mean) * NEWEST_WEIGHT;
  }
}
