/**
 * Counts the bytes between a daemon, the other daemons and the upstreams, by purpose and by whether
 * they leave the data centre, which costs its users money.
 */

export type TrafficPurpose = 'membership' | 'records' | 'reports' | 'requests' | 'answers';

export type TrafficRow = {
  readonly purpose: TrafficPurpose;
  readonly distance: 'near' | 'far';
  readonly bytes: number;
};

export class TrafficMeter {
  readonly #rows = new Map<string, TrafficRow>();

  /** Notes bytes that were sent, or received from an upstream as an answer. */
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
