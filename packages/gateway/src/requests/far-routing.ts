/**
 * Carries out the decision about other data centres for the requests of one service: gathers what is
 * known of upstreams and other dispatchers, and reports what leaves and why.
 */
import { chooseWithFar, FarPlacement } from '@baobabline/core';
import type {
  Clock,
  DataCentreSlots,
  FailureEstimator,
  FarChoice,
  FarPlacementSettings,
  FarQueue,
  FarReason,
  LearnedAnswer,
  PlacementCandidate,
  PlacementRequest,
  RandomSource,
  ServiceView,
} from '@baobabline/core';

import type { UpstreamState } from './upstream-state.js';

/** A request or an answer that crosses data centres. */
export type FarTraffic = {
  readonly service: string;
  readonly reason: FarReason;
  readonly requests: number;
  readonly bytes: number;
};

export type FarRoutingDependencies = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly service: string;
  readonly dataCentre: string;
  readonly settings: FarPlacementSettings;
  readonly trust: FailureEstimator;
  readonly links: FailureEstimator;
  /** Whether a data centre has a daemon that receives requests from callers. */
  readonly hasDispatcher: (dataCentre: string) => boolean;
  /** Counts the slots of an upstream, as far as its rate limit permits. */
  readonly countSlots: (upstream: UpstreamState) => number;
  readonly onTraffic: (traffic: FarTraffic) => void;
  /** Called when the share of requests that may leave has changed clearly. */
  readonly onShareChange: (service: string, share: number) => void;
};

/** What a request needs of the choice, apart from its placement. */
export type FarNeeds = {
  readonly routeId: string;
  readonly targetLeftMs: number;
  readonly timeLeftMs: number;
  readonly excluded: ReadonlySet<string>;
};

/** A view of all upstreams is used for this long; what leaves meanwhile is counted on top. */
const VIEW_MAX_AGE_MS = 20;
/** The share is reported at most this often, and only if it has changed by more than a tenth. */
const SHARE_REPORT_INTERVAL_MS = 1000;
const MIN_REPORTED_CHANGE = 0.1;

type SlotRow = Omit<DataCentreSlots, 'coldShare'> & { readonly coldSlots: number };

export class FarRouting {
  readonly #dependencies: FarRoutingDependencies;

  readonly #placement: FarPlacement;

  #view: ServiceView = { at: Number.NEGATIVE_INFINITY, dataCentres: [] };

  #reported = { at: Number.NEGATIVE_INFINITY, share: 0 };

  constructor(dependencies: FarRoutingDependencies) {
    const { dataCentre, settings, clock } = dependencies;
    this.#dependencies = dependencies;
    this.#placement = new FarPlacement(dataCentre, settings, clock.now());
  }

  recordArrival(): void {
    this.#placement.recordArrival();
  }

  /** Takes in another dispatcher's requests in flight, by the report names of upstreams. */
  recordReport(
    dispatcherId: string,
    dataCentre: string,
    reported: ReadonlyMap<number, number>,
    upstreams: readonly UpstreamState[],
  ): void {
    const inFlight = new Map<string, number>();
    upstreams.forEach(({ reportName, record }) => {
      const count = reported.get(reportName) ?? 0;
      if (count > 0)
        inFlight.set(record.dataCentre, (inFlight.get(record.dataCentre) ?? 0) + count);
    });
    const now = this.#dependencies.clock.now();
    this.#placement.recordNews({ dispatcherId, dataCentre, inFlight }, now);
  }

  choose(
    request: PlacementRequest,
    { routeId, targetLeftMs, timeLeftMs, excluded }: FarNeeds,
    near: readonly PlacementCandidate[],
    listAll: () => readonly PlacementCandidate[],
    queue: FarQueue,
    upstreams: readonly UpstreamState[],
  ): FarChoice | undefined {
    const { random, dataCentre } = this.#dependencies;
    const hasNearUpstream = upstreams.some(
      (state) => state.record.dataCentre === dataCentre && this.#isUsable(state, excluded),
    );
    const { bodyBytes } = request;
    const needs = { routeId, bodyBytes, targetLeftMs, timeLeftMs, hasNearUpstream };
    const judge = this.#placement.createJudge(needs, queue, this.#getView(upstreams));
    return chooseWithFar(request, near, listAll, judge, random);
  }

  /** Counts the slots that this dispatcher's queue can count on. */
  countSlots(upstreams: readonly UpstreamState[]): number {
    return this.#placement.countSlots(this.#getView(upstreams));
  }

  /** Records a request that has been sent to another data centre. */
  recordSent(dataCentre: string, reason: FarReason | undefined, bytes: number): void {
    if (reason === undefined) return;
    this.#placement.recordSent(dataCentre);
    const { onTraffic, service } = this.#dependencies;
    onTraffic({ service, reason, requests: 1, bytes });
  }

  /** Records a complete answer, and what its route shows if it is good. */
  recordAnswer(answer: LearnedAnswer, reason: FarReason | undefined, isGood: boolean): void {
    if (isGood) this.#placement.recordAnswer(answer);
    if (reason === undefined) return;
    const { onTraffic, service } = this.#dependencies;
    onTraffic({ service, reason, requests: 0, bytes: answer.bytes });
  }

  /** Reports a clear change of the share. */
  runTick(): void {
    const { clock, service, onShareChange } = this.#dependencies;
    const now = clock.now();
    const { share } = this.#placement;
    const { at, share: known } = this.#reported;
    const isClear = Math.abs(share - known) > MIN_REPORTED_CHANGE;
    if (!isClear || now - at < SHARE_REPORT_INTERVAL_MS) return;
    this.#reported = { at: now, share };
    onShareChange(service, share);
  }

  #isUsable({ isLeaving, record }: UpstreamState, excluded: ReadonlySet<string>): boolean {
    const { links, clock } = this.#dependencies;
    return !isLeaving && !excluded.has(record.id) && !links.isSuspect(record.id, clock.now());
  }

  #getView(upstreams: readonly UpstreamState[]): ServiceView {
    const now = this.#dependencies.clock.now();
    if (now - this.#view.at >= VIEW_MAX_AGE_MS) this.#view = this.#buildView(upstreams, now);
    return this.#view;
  }

  #buildView(upstreams: readonly UpstreamState[], now: number): ServiceView {
    const { hasDispatcher, trust, countSlots } = this.#dependencies;
    const rows = new Map<string, SlotRow>();
    upstreams.forEach((state) => {
      const { dataCentre, id } = state.record;
      const isCounted = this.#isUsable(state, new Set()) && !trust.isSuspect(id, now);
      const slots = isCounted ? countSlots(state) : 0;
      const row = rows.get(dataCentre);
      rows.set(dataCentre, {
        dataCentre,
        slots: (row?.slots ?? 0) + slots,
        coldSlots: (row?.coldSlots ?? 0) + (state.warmUntil > now ? slots : 0),
        ownInFlight: (row?.ownInFlight ?? 0) + state.inFlight,
        hasDispatcher: row?.hasDispatcher ?? hasDispatcher(dataCentre),
      });
    });
    const dataCentres = [...rows.values()].map(({ coldSlots, ...row }) => ({
      ...row,
      coldShare: row.slots === 0 ? 0 : coldSlots / row.slots,
    }));
    return { at: now, dataCentres };
  }
}
