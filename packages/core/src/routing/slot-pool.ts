/**
 * The slots of one service that this daemon owns, which of them are in use, and who waits for
 * the next. It grants a slot at once, makes the request wait, or says why neither is possible.
 */
import type { Clock, RandomSource } from '../runtime/index.js';
import type { LoadView, SlotChooser } from './slot-chooser.js';
import type { PassedOver, Slot, Ticket, UpstreamStanding } from './types.js';
import { WaitQueue } from './wait-queue.js';

export type SlotGrant = {
  readonly slot: Slot;
  /** Upstreams that were not chosen, gathered only when asked for. */
  readonly listPassedOver: () => readonly PassedOver[];
};

export type GrantHandler = {
  readonly onGrant: (grant: SlotGrant) => void;
  readonly onExpired: () => void;
  readonly onDropped: () => void;
};

export type SlotPoolPorts = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly getStanding: (upstreamId: string) => UpstreamStanding;
  readonly chooser: SlotChooser;
};

const STANDING_RANK: Readonly<Record<UpstreamStanding, number>> = {
  trial: 0,
  healthy: 1,
  doubtful: 2,
  barred: Number.POSITIVE_INFINITY,
};

const PASS_REASONS: readonly PassedOver['reason'][] = [
  'busy',
  'excluded',
  'barred',
  'ranked-lower',
];
const MAX_WAITING_PER_SERVICE = 256;
const SERVICE_TIME_SMOOTHING = 0.05;
const INITIAL_SERVICE_TIME_MS = 50;

export class SlotPool {
  readonly #ports: SlotPoolPorts;

  #slots: readonly Slot[] = [];

  readonly #busy = new Map<string, Slot>();

  readonly #reportedLoads = new Map<string, number>();

  readonly #loads: LoadView = {
    countBusy: (upstreamId) => this.#countBusy(upstreamId),
    getReportedLoad: (upstreamId) => this.#reportedLoads.get(upstreamId) ?? 0,
  };

  readonly #queue = new WaitQueue<GrantHandler>(MAX_WAITING_PER_SERVICE);

  #meanServiceTimeMs = INITIAL_SERVICE_TIME_MS;

  constructor(ports: SlotPoolPorts) {
    this.#ports = ports;
  }

  /** Slots that this daemon owns now. Requests in slots it lost run to their end. */
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

  /** Slots that could take a request now. */
  countFree(): number {
    return this.#slots.filter((slot) => this.#isFree(slot) && this.#rankSlot(slot) < 2).length;
  }

  /** Whether a slot could take a request now and none waits for it. */
  hasFreeSlot(): boolean {
    if (this.#queue.length > 0) return false;
    return this.#slots.some((slot) => this.#isFree(slot) && this.#rankSlot(slot) < 2);
  }

  hasUsableSlots(): boolean {
    return this.#slots.some((slot) => Number.isFinite(this.#rankSlot(slot)));
  }

  isFull(): boolean {
    return this.#queue.isFull();
  }

  /** Milliseconds that a request arriving now is expected to wait. */
  computeExpectedWaitMs(): number {
    const usable = this.#slots.filter((slot) => Number.isFinite(this.#rankSlot(slot))).length;
    if (usable === 0) return Number.POSITIVE_INFINITY;
    return ((this.#queue.length + 1) * this.#meanServiceTimeMs) / usable;
  }

  get meanServiceTimeMs(): number {
    return this.#meanServiceTimeMs;
  }

  /** Grants a free slot at once, unless others wait for one. */
  acquire(ticket: Ticket): SlotGrant | undefined {
    if (this.#queue.length > 0) return undefined;
    const grant = this.#grant(ticket);
    if (grant) this.#queue.recordServed(ticket);
    return grant;
  }

  /** Takes in the load that an upstream reported. */
  recordLoad(upstreamId: string, load: number): void {
    this.#reportedLoads.set(upstreamId, load);
  }

  /** Makes a request wait; the handler is called once. */
  wait(ticket: Ticket, handler: GrantHandler): void {
    this.#queue.add({ ticket, payload: handler });
    this.runTick();
  }

  removeWaiting(requestId: string): boolean {
    return this.#queue.remove(requestId);
  }

  /** Frees a slot and grants it to whoever goes next. */
  release(slot: Slot, serviceTimeMs?: number): void {
    this.#busy.delete(slot.id);
    if (serviceTimeMs !== undefined) this.#recordServiceTime(serviceTimeMs);
    this.#grantNext();
  }

  /** Expires what waited too long and grants slots that have become usable. */
  runTick(): void {
    if (this.#queue.length === 0) return;
    this.#queue.takeExpired(this.#ports.clock.now()).forEach(({ payload }) => payload.onExpired());
    this.#slots.filter((slot) => this.#isFree(slot)).forEach(() => this.#grantNext());
  }

  /** Drops everything that waits, as after a pause of the process. */
  dropWaiting(): void {
    this.#queue.takeAll().forEach(({ payload }) => payload.onDropped());
  }

  #grantNext(): void {
    if (this.#queue.length === 0) return;
    const now = this.#ports.clock.now();
    const next = this.#queue.takeNext(
      (ticket) => ticket.deadline > now && this.#listCandidates(ticket).length > 0,
    );
    if (!next) return;
    const grant = this.#grant(next.ticket);
    if (grant) next.payload.onGrant(grant);
  }

  #grant(ticket: Ticket): SlotGrant | undefined {
    const best = this.#listBest(this.#listCandidates(ticket));
    if (best.length === 0) return undefined;
    const slot = this.#ports.chooser.choose(best, this.#loads, this.#ports.random);
    this.#busy.set(slot.id, slot);
    return { slot, listPassedOver: () => this.#listPassedOver(ticket, slot) };
  }

  #countBusy(upstreamId: string): number {
    return [...this.#busy.values()].filter((slot) => slot.upstreamId === upstreamId).length;
  }

  #isFree(slot: Slot): boolean {
    return !this.#busy.has(slot.id);
  }

  #rankSlot(slot: Slot): number {
    return STANDING_RANK[this.#ports.getStanding(slot.upstreamId)];
  }

  #listCandidates(ticket: Ticket): readonly Slot[] {
    return this.#slots.filter(
      (slot) =>
        this.#isFree(slot) &&
        !ticket.excludedUpstreams.includes(slot.upstreamId) &&
        this.#mayServe(slot, ticket),
    );
  }

  #mayServe(slot: Slot, ticket: Ticket): boolean {
    const standing = this.#ports.getStanding(slot.upstreamId);
    if (standing === 'barred') return false;
    return standing !== 'trial' || ticket.repeatable;
  }

  #listBest(candidates: readonly Slot[]): readonly Slot[] {
    const ranked = candidates.map((slot) => ({ slot, rank: this.#rankSlot(slot) }));
    const bestRank = ranked.reduce((best, { rank }) => Math.min(best, rank), Infinity);
    return ranked.filter(({ rank }) => rank === bestRank).map(({ slot }) => slot);
  }

  #listPassedOver(ticket: Ticket, chosen: Slot): readonly PassedOver[] {
    const passed = this.#slots.filter(({ upstreamId }) => upstreamId !== chosen.upstreamId);
    const reasons = passed.map((slot) => ({ slot, reason: this.#explain(slot, ticket) }));
    return PASS_REASONS.flatMap((reason) => {
      const slots = reasons.filter((row) => row.reason === reason).map(({ slot }) => slot.id);
      return slots.length > 0 ? [{ reason, slots }] : [];
    });
  }

  #explain(slot: Slot, ticket: Ticket): PassedOver['reason'] {
    if (ticket.excludedUpstreams.includes(slot.upstreamId)) return 'excluded';
    if (!this.#mayServe(slot, ticket)) return 'barred';
    if (!this.#isFree(slot)) return 'busy';
    return 'ranked-lower';
  }

  #recordServiceTime(serviceTimeMs: number): void {
    this.#meanServiceTimeMs += (serviceTimeMs - this.#meanServiceTimeMs) * SERVICE_TIME_SMOOTHING;
  }
}
