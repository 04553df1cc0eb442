/**
 * How busy the other dispatchers of a service are, as last heard.
 */
import { Table } from '@baobabline/core';
import type { Clock } from '@baobabline/core';

import type { ServiceLoad } from '../peers/messages.js';

export type PeerLoad = ServiceLoad & {
  readonly id: string;
  readonly heardAt: number;
  /** Requests handed on to this peer and not yet answered. */
  readonly outstanding: number;
};

const UNKNOWN_FREE = 2;

export class PeerLoads {
  readonly #rows = new Table<PeerLoad>();

  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  record(daemonId: string, loads: readonly ServiceLoad[]): void {
    const heardAt = this.#clock.now();
    loads.forEach((load) => {
      const id = `${daemonId}|${load.service}`;
      const outstanding = this.#rows.get(id)?.outstanding ?? 0;
      this.#rows.put({ ...load, id, heardAt, outstanding });
    });
  }

  /** Takes in the free slots that came with a peer's answer. */
  recordFree(daemonId: string, service: string, free: number): void {
    const row = this.#rows.get(`${daemonId}|${service}`);
    if (!row || !Number.isFinite(free)) return;
    this.#rows.put({ ...row, free, waiting: 0, heardAt: this.#clock.now() });
  }

  /** Slots that a peer probably has free now, below zero where requests wait. */
  computeRoom(daemonId: string, service: string): number {
    const row = this.#rows.get(`${daemonId}|${service}`);
    if (!row) return UNKNOWN_FREE;
    return row.free - row.waiting - row.outstanding;
  }

  addOutstanding(daemonId: string, service: string, change: number): void {
    const id = `${daemonId}|${service}`;
    const row = this.#rows.get(id) ?? {
      id,
      service,
      free: UNKNOWN_FREE,
      waiting: 0,
      heardAt: this.#clock.now(),
      outstanding: 0,
    };
    this.#rows.put({ ...row, outstanding: Math.max(0, row.outstanding + change) });
  }
}
