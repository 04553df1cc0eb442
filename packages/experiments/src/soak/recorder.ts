/**
 * Takes down what a soak sees, on one clock that starts with the soak.
 */
import type { SoakRecord } from './types.js';

/** What is taken down while the soak runs, as lists of rows. */
export type SeenKey = Exclude<
  keyof SoakRecord,
  'graceMs' | 'routeTimeMs' | 'disturbances' | 'runs' | 'quotas' | 'keyRemovedMs'
>;

/** How often this process looks whether it is held up itself, and from when on that is noted. */
const LOOK_MS = 20;
const HELD_UP_MS = 40;

export class SoakRecorder {
  readonly #rows: { readonly [Key in SeenKey]: SoakRecord[Key][number][] } = {
    requests: [],
    exits: [],
    versions: [],
    published: [],
    leavings: [],
    limits: [],
    links: [],
    stalls: [],
    struck: [],
  };

  #startedAt = performance.now();

  #lookedAt = performance.now();

  #timer: NodeJS.Timeout | undefined;

  /** Milliseconds since the soak began. */
  get now(): number {
    return this.toSoakTime(performance.now());
  }

  get rows(): Pick<SoakRecord, SeenKey> {
    return this.#rows;
  }

  toSoakTime(at: number): number {
    return at - this.#startedAt;
  }

  add<Key extends SeenKey>(key: Key, row: SoakRecord[Key][number]): void {
    const rows: SoakRecord[Key][number][] = this.#rows[key];
    rows.push(row);
  }

  /** Forgets what came before the fleet stood, and begins to count time. */
  start(): void {
    Object.values(this.#rows).forEach((rows) => rows.splice(0));
    this.#startedAt = performance.now();
    this.#lookedAt = this.#startedAt;
    this.#timer = setInterval(() => this.#checkStall(), LOOK_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #checkStall(): void {
    const dueMs = this.toSoakTime(this.#lookedAt) + LOOK_MS;
    this.#lookedAt = performance.now();
    const toMs = this.now;
    if (toMs - dueMs >= HELD_UP_MS) this.add('stalls', { fromMs: dueMs, toMs });
  }
}
