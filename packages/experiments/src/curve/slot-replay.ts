/**
 * A replay of one service's real decisions on synthetic requests: seeded service times, virtual
 * time, the product's own detectors and evidence rules. It serves to find thresholds, which needs
 * many upstream-hours; the experiments over real processes confirm them.
 */
import { chooseScoresToReport, OutlierDetector } from '@baobabline/core';
import type { Evidence, RandomSource } from '@baobabline/core';

export type ReplaySettings = {
  readonly upstreams: number;
  readonly slotsPerUpstream: number;
  readonly owners: number;
  readonly dataCentres: number;
  readonly medianMs: number;
  readonly sigma: number;
  /** Share of the time that a slot is busy. */
  readonly utilisation: number;
};

export type ReplayFault = {
  readonly kind: 'none' | 'stall' | 'slow' | 'errors';
  readonly upstream: number;
  readonly startsAt: number;
};

type SlotState = {
  readonly id: string;
  readonly upstream: number;
  readonly owner: number;
  readonly busy: boolean;
  /** When the slot's request ends, or its next one starts. */
  readonly nextAt: number;
  readonly failed: boolean;
};

export type PooledScore = {
  readonly upstream: number;
  readonly rows: readonly Evidence[];
};

const SLOW_FACTOR = 5;
const DEADLINE_MS = 3000;
const KIND = 'read';

function drawNormal(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

export class SlotReplay {
  readonly #settings: ReplaySettings;

  readonly #random: RandomSource;

  readonly #fault: ReplayFault;

  readonly #detectors: readonly OutlierDetector[];

  #slots: SlotState[];

  #accused: ReadonlySet<string> = new Set();

  constructor(settings: ReplaySettings, fault: ReplayFault, random: RandomSource) {
    this.#settings = settings;
    this.#fault = fault;
    this.#random = random;
    this.#detectors = Array.from({ length: settings.owners }, () => new OutlierDetector());
    const count = settings.upstreams * settings.slotsPerUpstream;
    this.#slots = Array.from({ length: count }, (_, index) => this.#createSlot(index));
  }

  /** Carries all slots on to `now`. */
  advanceTo(now: number): void {
    this.#slots = this.#slots.map((slot) => this.#advanceSlot(slot, now));
  }

  /** The evidence that the owners tell each other at `now`, by upstream. */
  computeEvidence(now: number): readonly PooledScore[] {
    const rows = this.#detectors.flatMap((detector, owner) =>
      chooseScoresToReport(detector.computeScores(now), this.#accused).map((score): Evidence => ({
        ...score,
        id: `${owner}|${score.upstreamId}`,
        service: 'replay',
        reporterId: `owner-${owner}`,
        reporterDataCentre: `dc-${owner % this.#settings.dataCentres}`,
      })),
    );
    this.#accused = new Set(rows.map(({ upstreamId }) => upstreamId));
    return Array.from({ length: this.#settings.upstreams }, (_, upstream) => ({
      upstream,
      rows: rows.filter(({ upstreamId }) => upstreamId === `upstream-${upstream}`),
    }));
  }

  #createSlot(index: number): SlotState {
    const { slotsPerUpstream, owners } = this.#settings;
    return {
      id: `slot-${index}`,
      upstream: Math.floor(index / slotsPerUpstream),
      owner: index % owners,
      busy: false,
      nextAt: this.#drawIdleMs(),
      failed: false,
    };
  }

  #advanceSlot(slot: SlotState, now: number): SlotState {
    if (slot.nextAt > now) return slot;
    return this.#advanceSlot(slot.busy ? this.#finishRequest(slot) : this.#startRequest(slot), now);
  }

  #startRequest(slot: SlotState): SlotState {
    const { nextAt: at, upstream } = slot;
    const fault = this.#getFault(upstream, at);
    this.#detectors[slot.owner]?.recordStart({
      id: slot.id,
      upstreamId: `upstream-${upstream}`,
      kind: KIND,
      startedAt: at,
      freshConnection: false,
    });
    const failed = fault === 'errors' && this.#random.next() < 0.5;
    const elapsed = fault === 'stall' ? DEADLINE_MS : this.#drawServiceMs(fault === 'slow');
    return { ...slot, busy: true, nextAt: at + Math.min(DEADLINE_MS, elapsed), failed };
  }

  #finishRequest(slot: SlotState): SlotState {
    const isStalled = this.#getFault(slot.upstream, slot.nextAt) === 'stall';
    const finished = slot.failed ? 'failed' : 'completed';
    const end = isStalled ? 'abandoned' : finished;
    this.#detectors[slot.owner]?.recordEnd(slot.id, end, slot.nextAt);
    return { ...slot, busy: false, nextAt: slot.nextAt + this.#drawIdleMs() };
  }

  #getFault(upstream: number, at: number): ReplayFault['kind'] {
    const { kind, startsAt } = this.#fault;
    return upstream === this.#fault.upstream && at >= startsAt ? kind : 'none';
  }

  #drawServiceMs(slow: boolean): number {
    const { medianMs, sigma } = this.#settings;
    return medianMs * Math.exp(sigma * drawNormal(this.#random)) * (slow ? SLOW_FACTOR : 1);
  }

  #drawIdleMs(): number {
    const { medianMs, sigma, utilisation } = this.#settings;
    const meanService = medianMs * Math.exp(sigma ** 2 / 2);
    const meanIdle = (meanService * (1 - utilisation)) / utilisation;
    return -Math.log(1 - this.#random.next()) * meanIdle;
  }
}
