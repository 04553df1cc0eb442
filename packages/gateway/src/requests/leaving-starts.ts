/**
 * Starts of upstreams that have stated that they leave. An upstream that leaves never takes this back,
 * so the statement outlives its record, which may be gone for a moment or come back in an older form.
 */
import type { RegisteredUpstream } from '@baobabline/core';

type UpstreamStart = Pick<RegisteredUpstream, 'id' | 'bornAt'>;

/** Many times the upstreams of a large deployment; the oldest statements are evicted first. */
const MAX_STARTS = 4096;

function buildKey({ id, bornAt }: UpstreamStart): string {
  return JSON.stringify([id, bornAt]);
}

export class LeavingStarts {
  readonly #keys = new Set<string>();

  has(start: UpstreamStart): boolean {
    return this.#keys.size > 0 && this.#keys.has(buildKey(start));
  }

  add(start: UpstreamStart): void {
    this.#keys.add(buildKey(start));
    const [oldest] = this.#keys;
    if (this.#keys.size > MAX_STARTS && oldest !== undefined) this.#keys.delete(oldest);
  }
}
