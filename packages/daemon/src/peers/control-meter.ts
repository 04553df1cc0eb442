/**
 * Counts the bytes of control messages between daemons, both as the one that calls and as the one
 * that answers. Bodies are counted exactly, heads by their usual length.
 */

const REQUEST_HEAD_BYTES = 150;
const RESPONSE_HEAD_BYTES = 200;

export class ControlMeter {
  #bytes = 0;

  /** Bytes sent and received since the start. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Counts one call with its answer. */
  recordCall(requestBytes: number, responseBytes: number): void {
    this.#bytes += REQUEST_HEAD_BYTES + requestBytes + RESPONSE_HEAD_BYTES + responseBytes;
  }
}
