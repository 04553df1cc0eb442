/**
 * What a dispatcher keeps of one upstream while it may be used: its record, its connections and
 * the requests that are in flight there.
 */
import type { RegisteredUpstream } from '@baobabline/core';

import { computeUpstreamHash } from '../reports/index.js';
import type { UpstreamPool } from '../upstreams/index.js';

/** How long an upstream that turned a request away is left alone, in milliseconds. */
const SHED_PAUSE_MS = 150;

export class UpstreamState {
  /** Its name in reports. */
  readonly reportName: number;

  #record: RegisteredUpstream;

  readonly pool: UpstreamPool;

  /** Until when it stays slow after its start, in milliseconds of the daemon's clock. */
  readonly warmUntil: number;

  #inFlight = 0;

  #pausedUntil = 0;

  #isLeaving = false;

  constructor(record: RegisteredUpstream, pool: UpstreamPool, warmUntil: number) {
    this.#record = record;
    this.reportName = computeUpstreamHash(record.id);
    this.pool = pool;
    this.warmUntil = warmUntil;
  }

  /** Requests of this dispatcher in flight there. */
  get inFlight(): number {
    return this.#inFlight;
  }

  recordStart(): void {
    this.#inFlight += 1;
  }

  recordEnd(): void {
    this.#inFlight -= 1;
  }

  get record(): RegisteredUpstream {
    return this.#record;
  }

  /** Whether it has said that it takes no new work. */
  get isLeaving(): boolean {
    return this.#isLeaving || this.#record.state === 'draining';
  }

  /** Whether a record speaks of the same start of the upstream at the same place. */
  isSameStart({ bornAt, address, port, service }: RegisteredUpstream): boolean {
    const known = this.#record;
    return (
      known.bornAt === bornAt &&
      known.address === address &&
      known.port === port &&
      known.service === service
    );
  }

  /** Takes a newer record of the same start. */
  applyRecord(record: RegisteredUpstream): void {
    this.#record = record;
  }

  isPaused(now: number): boolean {
    return now < this.#pausedUntil;
  }

  recordShed(now: number): void {
    this.#pausedUntil = now + SHED_PAUSE_MS;
  }

  recordLeaving(): void {
    this.#isLeaving = true;
  }
}
