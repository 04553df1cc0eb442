/**
 * Counts a daemon's traffic with other daemons and with upstreams in bytes, by purpose and by whether
 * it crosses data centres, since users pay for traffic between data centres.
 */

export type TrafficPurpose = 'membership' | 'records' | 'reports' | 'requests' | 'answers';

export type TrafficRow = {
  readonly purpose: TrafficPurpose;
  readonly distance: 'near' | 'far';
  readonly bytes: number;
};

export class TrafficMeter {
  readonly #rows = new Map<string, TrafficRow>();

  /** Adds bytes that were sent, or received in an upstream's answer. */
  record(purpose: TrafficPurpose, isNear: boolean, bytes: number): void {
    const distance = isNear ? 'near' : 'far';
    const key = `${purpose} ${distance}`;
    const known = this.#rows.get(key)?.bytes ?? 0;
    this.#rows.set(key, { purpose, distance, bytes: known + bytes });
  }

  list(): readonly TrafficRow[] {
    return [...this.#rows.values()];
  }
}
