/**
 * Ejects suspect upstreams of a service and brings them back. After the ejection time, which doubles
 * with each flap, an upstream is on trial (like a half-open circuit breaker): it gets a few
 * repeatable requests. Enough good answers put it back into use on probation; a new suspicion ejects
 * it for longer.
 */
import type { Verdict } from '../detection/index.js';
import type { Upstream } from '../lists/index.js';
import type { UpstreamHealth } from '../routing/index.js';
import { Table } from '../tables/index.js';
import { applyFloor } from './apply-floor.js';
import type { FloorCandidate } from './apply-floor.js';

/** On probation an upstream is in full use, but its flaps are still remembered. */
export type EjectionPhase = 'ejected' | 'trial' | 'probation';

export type Ejection = {
  readonly id: string;
  readonly phase: EjectionPhase;
  readonly scope: 'local' | 'fleet';
  readonly score: number;
  /** Monotonic time in milliseconds at which the ejection time or the probation ends. */
  readonly until: number;
  /** Repeated ejections after the first; reset when a probation ends. */
  readonly flaps: number;
  readonly goodAnswers: number;
  /** Monotonic time in milliseconds from which an upstream on trial may get its next request. */
  readonly nextTrialAt: number;
};

export type EjectionInput = {
  /** Upstreams that are listed as live, reachable and not draining. */
  readonly available: readonly Upstream[];
  readonly verdicts: readonly Verdict[];
  readonly floorSlots: number;
  readonly now: number;
};

export type EjectionChange = {
  readonly upstreamId: string;
  readonly change: 'ejected' | 'on-trial' | 'returned' | 'kept-by-floor';
  readonly verdict: Verdict;
};

const BASE_EJECTION_TIME_MS = 3000;
const MAX_EJECTION_TIME_MS = 120_000;
const GOOD_ANSWERS_TO_RETURN = 5;
const PROBATION_MS = 60_000;
const TRIAL_INTERVAL_MS = 300;

function computeEjectionTimeMs(flaps: number): number {
  return Math.min(MAX_EJECTION_TIME_MS, BASE_EJECTION_TIME_MS * 2 ** flaps);
}

function buildHealthyVerdict(upstreamId: string): Verdict {
  return { upstreamId, scope: 'none', score: 0, accusers: [] };
}

export class Ejections {
  readonly rows = new Table<Ejection>();

  #ejectedIds: ReadonlySet<string> = new Set();

  #keptByFloorIds: ReadonlySet<string> = new Set();

  /** How this daemon may use an upstream now. One on trial gets one request per trial interval. */
  getHealth(upstreamId: string, now: number): UpstreamHealth {
    if (this.#keptByFloorIds.has(upstreamId)) return 'suspect';
    const row = this.rows.get(upstreamId);
    if (row?.phase === 'trial') return row.nextTrialAt <= now ? 'trial' : 'barred';
    return this.#ejectedIds.has(upstreamId) ? 'barred' : 'healthy';
  }

  /** Records that a request was sent to an upstream on trial. */
  recordTrial(upstreamId: string, now: number): void {
    const row = this.rows.get(upstreamId);
    if (row?.phase !== 'trial') return;
    this.rows.put({ ...row, nextTrialAt: now + TRIAL_INTERVAL_MS });
  }

  listEjected(): readonly string[] {
    return [...this.#ejectedIds];
  }

  listKeptByFloor(): readonly string[] {
    return [...this.#keptByFloorIds];
  }

  /** Counts a good answer of an upstream on trial. */
  recordGoodAnswer(upstreamId: string): void {
    const row = this.rows.get(upstreamId);
    if (row?.phase === 'trial') this.rows.put({ ...row, goodAnswers: row.goodAnswers + 1 });
  }

  /** Applies the verdicts of this tick and returns the changes. */
  runTick(input: EjectionInput): readonly EjectionChange[] {
    const verdicts = new Map(input.verdicts.map((verdict) => [verdict.upstreamId, verdict]));
    const before = new Map(this.rows.list().map((row) => [row.id, row]));
    const keptIdsBefore = this.#keptByFloorIds;
    input.available.forEach(({ id }) =>
      this.#advance(id, verdicts.get(id) ?? buildHealthyVerdict(id), input.now),
    );
    this.#removeUnavailable(input.available);
    this.#applyFloor(input);
    return input.available.flatMap(({ id }) =>
      this.#describeChange(
        before.get(id),
        keptIdsBefore.has(id),
        verdicts.get(id) ?? buildHealthyVerdict(id),
      ),
    );
  }

  #advance(id: string, verdict: Verdict, now: number): void {
    const row = this.rows.get(id);
    if (verdict.scope !== 'none' && row?.phase !== 'ejected') {
      this.#eject(id, verdict, row, now);
      return;
    }
    if (!row) return;
    if (row.phase === 'ejected' && row.until <= now) {
      this.rows.put({ ...row, phase: 'trial', goodAnswers: 0, nextTrialAt: now });
    }
    if (row.phase === 'trial' && row.goodAnswers >= GOOD_ANSWERS_TO_RETURN) {
      this.rows.put({ ...row, phase: 'probation', until: now + PROBATION_MS });
    }
    if (row.phase === 'probation' && row.until <= now) this.rows.remove(id);
  }

  #eject(id: string, verdict: Verdict, row: Ejection | undefined, now: number): void {
    const flaps = row ? row.flaps + 1 : 0;
    this.rows.put({
      id,
      phase: 'ejected',
      scope: verdict.scope === 'fleet' ? 'fleet' : 'local',
      score: verdict.score,
      until: now + computeEjectionTimeMs(flaps),
      flaps,
      goodAnswers: 0,
      nextTrialAt: 0,
    });
  }

  #removeUnavailable(available: readonly Upstream[]): void {
    const availableIds = new Set(available.map(({ id }) => id));
    this.rows
      .list()
      .filter((row) => !availableIds.has(row.id))
      .forEach((row) => this.rows.remove(row.id));
  }

  #applyFloor(input: EjectionInput): void {
    const suspects = input.available.flatMap((upstream): readonly FloorCandidate[] => {
      const row = this.rows.get(upstream.id);
      if (!row || row.phase === 'probation') return [];
      return [{ upstreamId: upstream.id, slots: upstream.slots, score: row.score }];
    });
    const capacity = input.available.reduce((sum, { slots }) => sum + slots, 0);
    const decision = applyFloor(suspects, capacity, input.floorSlots);
    this.#ejectedIds = new Set(decision.ejected);
    this.#keptByFloorIds = new Set(decision.keptByFloor);
  }

  #describeChange(
    before: Ejection | undefined,
    wasKept: boolean,
    verdict: Verdict,
  ): readonly EjectionChange[] {
    const { upstreamId } = verdict;
    if (this.#keptByFloorIds.has(upstreamId)) {
      return wasKept ? [] : [{ upstreamId, change: 'kept-by-floor', verdict }];
    }
    const after = this.rows.get(upstreamId);
    if (before?.phase === after?.phase) return [];
    if (after?.phase === 'ejected') return [{ upstreamId, change: 'ejected', verdict }];
    if (after?.phase === 'trial') return [{ upstreamId, change: 'on-trial', verdict }];
    if (after?.phase === 'probation') return [{ upstreamId, change: 'returned', verdict }];
    return [];
  }
}
