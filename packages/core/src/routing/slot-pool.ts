/**
 * The slots of one service that this daemon owns, which of them are in use, and the queue of
 * requests that wait for one. The caller first tries to acquire a free slot and queues the request
 * if there is none.
 */
import type { Clock, RandomSource } from '../runtime/index.js';
import type { LoadView, SlotChooser } from './slot-chooser.js';
import type { PassedOver, Slot, SlotRequest, UpstreamHealth } from './types.js';
import { WaitQueue } from './wait-queue.js';

export type SlotGrant = {
  readonly slot: Slot;
  /** Lists the slots that were not chosen; computed only when called. */
  readonly listPassedOver: () => readonly PassedOver[];
};

/** Learns how the wait of a request ended. Nothing is called if the request is removed. */
export type GrantHandler = {
  readonly onGrant: (grant: SlotGrant) => void;
  readonly onExpired: () => void;
  readonly onDropped: () => void;
};

export type SlotPoolPorts = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly getHealth: (upstreamId: string) => UpstreamHealth;
  readonly chooser: SlotChooser;
};

// The free slots of the lowest rank are granted first; slots of infinite rank never.
const HEALTH_RANK: Readonly<Record<UpstreamHealth, number>> = {
  trial: 0,
  healthy: 1,
  suspect: 2,
  barred: Number.POSITIVE_INFINITY,
};

const PASSED_OVER_REASONS: readonly PassedOver['reason'][] = [
  'busy',
  'excluded',
  'barred',
  'ranked-lower',
];
const MAX_WAITING_PER_SERVICE = 256;
/** Weight of the newest service time in the exponential moving average. */
const SERVICE_TIME_SMOOTHING = 0.05;
const INITIAL_SERVICE_TIME_MS = 50;

export class SlotPool {
  readonly #ports: SlotPoolPorts;

  #slots: readonly Slot[] = [];

  readonly #busy = new Map<string, Slot>();

  readonly #reportedLoads = new Map<string, number>();

  readonly #loads: LoadView = {
    countInFlight: (upstreamId) => this.#countInFlight(upstreamId),
    getReportedLoad: (upstreamId) => this.#reportedLoads.get(upstreamId) ?? 0,
  };

  readonly #queue = new WaitQueue<GrantHandler>(MAX_WAITING_PER_SERVICE);

  #meanServiceTimeMs = INITIAL_SERVICE_TIME_MS;

  constructor(ports: SlotPoolPorts) {
    this.#ports = ports;
  }

  /** Replaces the slots that this daemon owns. Requests in slots that it lost run to their end. */
  setSlots(slots: readonly Slot[]): void {
    this.#slots = slots;
    this.runTick();
  }

  get slotCount(): number {
    return this.#slots.length;
  }

  get busyCount(): number {
    return this.#busy.size;
  }

  isBusy(slotId: string): boolean {
    return this.#busy.has(slotId);
  }

  get waitingCount(): number {
    return this.#queue.length;
  }

  /** Counts the free slots of healthy upstreams and of upstreams on trial. */
  countFree(): number {
    return this.#slots.filter((slot) => this.#isFree(slot) && this.#rankSlot(slot) < 2).length;
  }

  /** Whether a slot of a healthy upstream, or of one on trial, is free and no request waits. */
  hasFreeSlot(): boolean {
    if (this.#queue.length > 0) return false;
    return this.#slots.some((slot) => this.#isFree(slot) && this.#rankSlot(slot) < 2);
  }

  hasUsableSlots(): boolean {
    return this.#slots.some((slot) => Number.isFinite(this.#rankSlot(slot)));
  }

  isQueueFull(): boolean {
    return this.#queue.isFull();
  }

  /** Expected wait of a request that arrives now, in milliseconds; infinite without usable slots. */
  computeExpectedWaitMs(): number {
    const usable = this.#slots.filter((slot) => Number.isFinite(this.#rankSlot(slot))).length;
    if (usable === 0) return Number.POSITIVE_INFINITY;
    return ((this.#queue.length + 1) * this.#meanServiceTimeMs) / usable;
  }

  get meanServiceTimeMs(): number {
    return this.#meanServiceTimeMs;
  }

  /** Grants a free slot at once, unless other requests already wait for one. */
  acquire(request: SlotRequest): SlotGrant | undefined {
    if (this.#queue.length > 0) return undefined;
    const grant = this.#grant(request);
    if (grant) this.#queue.recordServed(request);
    return grant;
  }

  /** Stores the load that an upstream reported. */
  recordLoad(upstreamId: string, load: number): void {
    this.#reportedLoads.set(upstreamId, load);
  }

  /** Queues a request. One method of the handler is called once, when the wait ends. */
  wait(request: SlotRequest, handler: GrantHandler): void {
    this.#queue.add({ request, payload: handler });
    this.runTick();
  }

  removeWaiting(requestId: string): boolean {
    return this.#queue.remove(requestId);
  }

  /** Frees a slot and grants a free slot to the next request in the queue. */
  release(slot: Slot, serviceTimeMs?: number): void {
    this.#busy.delete(slot.id);
    if (serviceTimeMs !== undefined) this.#recordServiceTime(serviceTimeMs);
    this.#grantNext();
  }

  /** Expires requests past their deadline and grants slots that have become usable. */
  runTick(): void {
    if (this.#queue.length === 0) return;
    this.#queue.takeExpired(this.#ports.clock.now()).forEach(({ payload }) => payload.onExpired());
    this.#slots.filter((slot) => this.#isFree(slot)).forEach(() => this.#grantNext());
  }

  /** Drops all waiting requests, for example after a pause of the process. */
  dropWaiting(): void {
    this.#queue.takeAll().forEach(({ payload }) => payload.onDropped());
  }

  #grantNext(): void {
    if (this.#queue.length === 0) return;
    const now = this.#ports.clock.now();
    const next = this.#queue.takeNext(
      (request) => request.deadline > now && this.#listCandidates(request).length > 0,
    );
    if (!next) return;
    const grant = this.#grant(next.request);
    if (grant) next.payload.onGrant(grant);
  }

  #grant(request: SlotRequest): SlotGrant | undefined {
    const best = this.#listBest(this.#listCandidates(request));
    if (best.length === 0) return undefined;
    const slot = this.#ports.chooser.choose(best, this.#loads, this.#ports.random);
    this.#busy.set(slot.id, slot);
    return { slot, listPassedOver: () => this.#listPassedOver(request, slot) };
  }

  #countInFlight(upstreamId: string): number {
    return [...this.#busy.values()].filter((slot) => slot.upstreamId === upstreamId).length;
  }

  #isFree(slot: Slot): boolean {
    return !this.#busy.has(slot.id);
  }

  #rankSlot(slot: Slot): number {
    return HEALTH_RANK[this.#ports.getHealth(slot.upstreamId)];
  }

  #listCandidates(request: SlotRequest): readonly Slot[] {
    return this.#slots.filter(
      (slot) =>
        this.#isFree(slot) &&
        !request.excludedUpstreams.includes(slot.upstreamId) &&
        this.#mayServe(slot, request),
    );
  }

  #mayServe(slot: Slot, request: SlotRequest): boolean {
    const health = this.#ports.getHealth(slot.upstreamId);
    if (health === 'barred') return false;
    return health !== 'trial' || request.repeatable;
  }

  #listBest(candidates: readonly Slot[]): readonly Slot[] {
    const ranked = candidates.map((slot) => ({ slot, rank: this.#rankSlot(slot) }));
    const bestRank = ranked.reduce((best, { rank }) => Math.min(best, rank), Infinity);
    return ranked.filter(({ rank }) => rank === bestRank).map(({ slot }) => slot);
  }

  #listPassedOver(request: SlotRequest, chosen: Slot): readonly PassedOver[] {
    const otherSlots = this.#slots.filter(({ upstreamId }) => upstreamId !== chosen.upstreamId);
    const reasons = otherSlots.map((slot) => ({ slot, reason: this.#explain(slot, request) }));
    return PASSED_OVER_REASONS.flatMap((reason) => {
      const slots = reasons.filter((row) => row.reason === reason).map(({ slot }) => slot.id);
      return slots.length > 0 ? [{ reason, slots }] : [];
    });
  }

  #explain(slot: Slot, request: SlotRequest): PassedOver['reason'] {
    if (request.excludedUpstreams.includes(slot.upstreamId)) return 'excluded';
    if (!this.#mayServe(slot, request)) return 'barred';
    if (!this.#isFree(slot)) return 'busy';
    return 'ranked-lower';
  }

  #recordServiceTime(serviceTimeMs: number): void {
    this.#meanServiceTimeMs += (serviceTimeMs - this.#meanServiceTimeMs) * SERVICE_TIME_SMOOTHING;
  }
}
