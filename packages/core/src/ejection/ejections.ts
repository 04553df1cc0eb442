/**
 * Which upstreams of a service are out, and how they come back: after a term that doubles with
 * each flap an upstream is on trial and gets a trickle of repeatable requests; a few good answers
 * bring it back, a new suspicion sends it out for longer.
 */
import type { Verdict } from '../detection/index.js';
import type { Upstream } from '../lists/index.js';
import type { UpstreamStanding } from '../routing/index.js';
import { Table } from '../tables/index.js';
import { applyFloor } from './apply-floor.js';
import type { FloorCandidate } from './apply-floor.js';

export type EjectionPhase = 'ejected' | 'trial' | 'probation';

export type Ejection = {
  readonly id: string;
  readonly phase: EjectionPhase;
  readonly scope: 'local' | 'fleet';
  readonly score: number;
  readonly until: number;
  readonly flaps: number;
  readonly goodAnswers: number;
  /** When an upstream on trial may get its next request. */
  readonly nextTrialAt: number;
};

export type EjectionView = {
  /** Upstreams that are listed as live and answer connections. */
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

const FIRST_TERM_MS = 3000;
const MAX_TERM_MS = 120_000;
const GOOD_ANSWERS_TO_RETURN = 5;
const PROBATION_MS = 60_000;
const TRIAL_INTERVAL_MS = 300;

function computeTermMs(flaps: number): number {
  return Math.min(MAX_TERM_MS, FIRST_TERM_MS * 2 ** flaps);
}

function buildInnocent(upstreamId: string): Verdict {
  return { upstreamId, scope: 'none', score: 0, accusers: [] };
}

export class Ejections {
  readonly rows = new Table<Ejection>();

  #barred: ReadonlySet<string> = new Set();

  #kept: ReadonlySet<string> = new Set();

  /** How this daemon treats an upstream now; one on trial gets one request an interval. */
  getStanding(upstreamId: string, now: number): UpstreamStanding {
    if (this.#kept.has(upstreamId)) return 'doubtful';
    const row = this.rows.get(upstreamId);
    if (row?.phase === 'trial') return row.nextTrialAt <= now ? 'trial' : 'barred';
    return this.#barred.has(upstreamId) ? 'barred' : 'healthy';
  }

  /** Notes that a request was sent to an upstream on trial. */
  recordTrial(upstreamId: string, now: number): void {
    const row = this.rows.get(upstreamId);
    if (row?.phase !== 'trial') return;
    this.rows.put({ ...row, nextTrialAt: now + TRIAL_INTERVAL_MS });
  }

  listEjected(): readonly string[] {
    return [...this.#barred];
  }

  listKeptByFloor(): readonly string[] {
    return [...this.#kept];
  }

  /** Counts a good answer of an upstream on trial. */
  recordGoodAnswer(upstreamId: string): void {
    const row = this.rows.get(upstreamId);
    if (row?.phase === 'trial') this.rows.put({ ...row, goodAnswers: row.goodAnswers + 1 });
  }

  /** Takes in the verdicts of this tick and returns what has changed. */
  runTick(view: EjectionView): readonly EjectionChange[] {
    const verdicts = new Map(view.verdicts.map((verdict) => [verdict.upstreamId, verdict]));
    const before = new Map(this.rows.list().map((row) => [row.id, row]));
    const keptBefore = this.#kept;
    view.available.forEach(({ id }) =>
      this.#advance(id, verdicts.get(id) ?? buildInnocent(id), view.now),
    );
    this.#forgetUnlisted(view.available);
    this.#applyFloor(view);
    return view.available.flatMap(({ id }) =>
      this.#describeChange(
        before.get(id),
        keptBefore.has(id),
        verdicts.get(id) ?? buildInnocent(id),
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
      until: now + computeTermMs(flaps),
      flaps,
      goodAnswers: 0,
      nextTrialAt: 0,
    });
  }

  #forgetUnlisted(available: readonly Upstream[]): void {
    const listed = new Set(available.map(({ id }) => id));
    this.rows
      .list()
      .filter((row) => !listed.has(row.id))
      .forEach((row) => this.rows.remove(row.id));
  }

  #applyFloor(view: EjectionView): void {
    const suspects = view.available.flatMap((upstream): readonly FloorCandidate[] => {
      const row = this.rows.get(upstream.id);
      if (!row || row.phase === 'probation') return [];
      return [{ upstreamId: upstream.id, slots: upstream.slots, score: row.score }];
    });
    const capacity = view.available.reduce((sum, { slots }) => sum + slots, 0);
    const decision = applyFloor(suspects, capacity, view.floorSlots);
    this.#barred = new Set(decision.ejected);
    this.#kept = new Set(decision.keptByFloor);
  }

  #describeChange(
    before: Ejection | undefined,
    keptBefore: boolean,
    verdict: Verdict,
  ): readonly EjectionChange[] {
    const { upstreamId } = verdict;
    if (this.#kept.has(upstreamId)) {
      return keptBefore ? [] : [{ upstreamId, change: 'kept-by-floor', verdict }];
    }
    const after = this.rows.get(upstreamId);
    if (before?.phase === after?.phase) return [];
    if (after?.phase === 'ejected') return [{ upstreamId, change: 'ejected', verdict }];
    if (after?.phase === 'trial') return [{ upstreamId, change: 'on-trial', verdict }];
    if (after?.phase === 'probation') return [{ upstreamId, change: 'returned', verdict }];
    return [];
  }
}
