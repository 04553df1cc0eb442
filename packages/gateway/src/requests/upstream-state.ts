/**
 * A dispatcher's state of one usable upstream: its record, its connection pool and the number of
 * requests in flight.
 */
import { hashText, isLargeBody, UpstreamRateLimit } from '@baobabline/core';
import type { RegisteredUpstream } from '@baobabline/core';

import { computeUpstreamHash } from '../reports/index.js';
import type { UpstreamPool } from '../upstreams/index.js';

export class UpstreamState {
  /** Number that stands for this upstream in reports between dispatchers. */
  readonly reportName: number;

  /** Number that stands for this start of the upstream. */
  readonly startName: number;

  #record: RegisteredUpstream;

  readonly pool: UpstreamPool;

  readonly rateLimit = new UpstreamRateLimit();

  /** End of the warm-up after its start, in milliseconds of the daemon's clock. */
  readonly warmUntil: number;

  #inFlight = 0;

  #largeBytes = 0;

  #isLeaving = false;

  constructor(record: RegisteredUpstream, pool: UpstreamPool, warmUntil: number) {
    this.#record = record;
    this.reportName = computeUpstreamHash(record.id);
    this.startName = hashText(`${record.id}|${record.bornAt}`);
    this.pool = pool;
    this.warmUntil = warmUntil;
  }

  /** Number of this dispatcher's requests in flight at the upstream. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Bytes of this dispatcher's large bodies of requests in flight at the upstream. */
  get largeBytes(): number {
    return this.#largeBytes;
  }

  recordStart(bodyBytes = 0): void {
    this.#inFlight += 1;
    if (isLargeBody(bodyBytes)) this.#largeBytes += bodyBytes;
  }

  recordEnd(bodyBytes = 0): void {
    this.#inFlight -= 1;
    if (isLargeBody(bodyBytes)) this.#largeBytes -= bodyBytes;
  }

  get record(): RegisteredUpstream {
    return this.#record;
  }

  /** Whether the upstream has announced that it takes no new requests. */
  get isLeaving(): boolean {
    return this.#isLeaving || this.#record.state === 'draining';
  }

  /** Whether a record describes the same start of the upstream at the same address and service. */
  isSameStart({ bornAt, address, port, service }: RegisteredUpstream): boolean {
    const known = this.#record;
    return (
      known.bornAt === bornAt &&
      known.address === address &&
      known.port === port &&
      known.service === service
    );
  }

  /** Replaces the record by a newer one of the same start. */
  applyRecord(record: RegisteredUpstream): void {
    this.#record = record;
  }

  /** Withdraws what has not been sent to an upstream that leaves; what it runs goes on. */
  drainIfLeaving(): void {
    if (this.isLeaving) this.pool.drain();
  }

  /** Records that the upstream leaves, which holds for this start of it, whatever its record says. */
  recordLeaving(): void {
    this.#isLeaving = true;
    this.pool.drain();
  }
}
