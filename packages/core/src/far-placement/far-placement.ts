/**
 * Decides whether a request of one service may leave its data centre, and where to.
 *
 * Load pattern: the upstreams of the own data centre are gone, half dead, slow, cold after a release,
 * or too few for a wave, while other data centres have slots to spare; or all of them are full.
 *
 * A request may leave if the value that its caller gains by it exceeds its cost. The gain is the
 * difference between the expected values of the answers: that of the near one falls with the wait
 * for a near slot, with the attempt time and with the failure probability. The cost is that of the
 * bytes of the request and its answer, and of the slot, which the other data centre may need. A
 * request at the head of the queue would not wait long itself, but all requests behind it would, so
 * that the wait of a request that joins the queue now counts for each.
 */
import { computeAnswerValue } from './answer-value.js';
import { DataCentreRows } from './data-centre-rows.js';
import type { FarRow } from './data-centre-rows.js';
import { FarShare } from './far-share.js';
import { LearnedRoutes } from './learned-routes.js';
import type { LearnedAnswer } from './learned-routes.js';
import { computeNearAnswer, findFarReason } from './near-answer.js';
import type { NearAnswer } from './near-answer.js';
import type {
  FarJudge,
  FarPlacementSettings,
  FarQueue,
  FarRequest,
  FarVerdict,
  LoadNews,
  NearOption,
  ServiceView,
} from './types.js';

type Offer = { readonly row: FarRow; readonly gain: number };

/** Near upstreams are slow if an answer without any wait loses this much of its value. */
const SLOW_LOSS = 0.1;
/** Assumed slow-down of an upstream that has not warmed up. */
const COLD_FACTOR = 2.5;
/** Way to another data centre and back. */
const FAR_ROUND_TRIP_MS = 3;
const BYTES_PER_MEGABYTE = 1e6;

export class FarPlacement {
  readonly #dataCentre: string;

  readonly #settings: FarPlacementSettings;

  readonly #share: FarShare;

  readonly #learned = new LearnedRoutes();

  readonly #rows: DataCentreRows;

  #hasNearSlots = true;

  constructor(dataCentre: string, settings: FarPlacementSettings, now: number) {
    this.#dataCentre = dataCentre;
    this.#settings = settings;
    this.#share = new FarShare(settings.maxShare, now);
    this.#rows = new DataCentreRows(
      dataCentre,
      now,
      (far) => this.#learned.getAttemptMs(far) + FAR_ROUND_TRIP_MS,
    );
  }

  /** The share of arrivals that may leave now, from 0 to 1. */
  get share(): number {
    return this.#hasNearSlots ? this.#share.value : 1;
  }

  recordNews(news: LoadNews, now: number): void {
    this.#rows.recordNews(news, now);
  }

  recordArrival(): void {
    this.#share.recordArrival();
  }

  recordAnswer(answer: LearnedAnswer): void {
    this.#learned.record(answer);
  }

  /** Records that a request has been sent to a far data centre. */
  recordSent(dataCentre: string): void {
    this.#share.spend();
    this.#rows.recordSent(dataCentre);
  }

  /**
   * Counts the slots for this dispatcher's queue: near ones and its quotas of open far ones or, without
   * near ones, its part of all far ones.
   */
  countSlots(view: ServiceView): number {
    this.#refresh(view);
    const { far, near } = this.#rows;
    if (!this.#hasNearSlots) return far.reduce((sum, { sharedSlots }) => sum + sharedSlots, 0);
    return far.filter(({ isOpen }) => isOpen).reduce((sum, { quota }) => sum + quota, near.slots);
  }

  /** Creates the decision about one request, given the queue of its service. */
  createJudge(request: FarRequest, queue: FarQueue, view: ServiceView): FarJudge {
    return {
      isNearSlow: () => this.#isNearSlow(request),
      judge: (near) => this.#judge(request, near, queue, view),
      recordStay: () => this.#recordStay(request, queue, view),
    };
  }

  #isNearSlow(request: FarRequest): boolean {
    const attemptMs = this.#learned.getAttemptMs(this.#dataCentre, request.routeId);
    return computeAnswerValue(attemptMs, request) < 1 - SLOW_LOSS;
  }

  /** Moves the share on while near slots are free: towards 0, or what a remaining queue calls for. */
  #recordStay(request: FarRequest, queue: FarQueue, view: ServiceView): void {
    this.#refresh(view);
    const isQueued = queue.waiting > 0 && this.#hasNearSlots;
    const near = isQueued ? this.#computeNear(request, undefined, queue) : undefined;
    this.#refreshShare(near ? this.#listOffers(request, near) : [], view.at);
  }

  /**
   * Decides whether a request may leave. `near` is the near upstream that has a free slot for it, if
   * there is one. Returns undefined if the request must stay.
   */
  #judge(
    request: FarRequest,
    near: NearOption | undefined,
    queue: FarQueue,
    view: ServiceView,
  ): FarVerdict | undefined {
    this.#refresh(view);
    if (!request.hasNearUpstream || !this.#hasNearSlots) return this.#judgeWithoutNear();
    const answer = this.#computeNear(request, near, queue);
    const offers = this.#listOffers(request, answer);
    this.#refreshShare(offers, view.at);
    const open = offers
      .map(({ row }) => row)
      .filter((row) => this.#rows.hasQuota(row, answer.isRefused));
    if (open.length === 0 || !this.#share.hasCredit) return undefined;
    return {
      open: new Set(open.map(({ dataCentre }) => dataCentre)),
      reason: findFarReason(answer, near),
      isFarPreferred: near !== undefined,
    };
  }

  /** Without a near upstream all requests leave, to data centres with spare slots if there are any. */
  #judgeWithoutNear(): FarVerdict {
    const { far } = this.#rows;
    const spare = far.filter((row) => this.#rows.hasQuota(row, false));
    const rows = spare.length > 0 ? spare : far;
    return {
      open: new Set(rows.map(({ dataCentre }) => dataCentre)),
      reason: 'no-near-upstream',
      isFarPreferred: false,
    };
  }

  /** Lists the open data centres for which leaving pays, with the net gain. */
  #listOffers(request: FarRequest, near: NearAnswer): readonly Offer[] {
    const isLarge =
      this.#learned.getAnswerBytes(request.routeId) >= this.#settings.largeAnswerBytes;
    if (isLarge && !near.isRefused) return [];
    return this.#rows.far
      .filter(({ isOpen }) => isOpen)
      .map((row) => ({ row, gain: this.#computeGain(request, near.value, row) }))
      .filter(({ gain }) => gain > 0);
  }

  #computeNear(request: FarRequest, near: NearOption | undefined, queue: FarQueue): NearAnswer {
    const { slots, isCold } = this.#rows.near;
    const factor = (near ? near.isCold : isCold) ? COLD_FACTOR : 1;
    const attemptMs = this.#learned.getAttemptMs(this.#dataCentre, request.routeId) * factor;
    const meanAttemptMs = this.#learned.getAttemptMs(this.#dataCentre);
    return computeNearAnswer(request, near, { ...queue, slots, meanAttemptMs }, attemptMs);
  }

  #computeGain(request: FarRequest, nearValue: number, row: FarRow): number {
    const { routeId, bodyBytes } = request;
    const { dataCentre, cost, isCold } = row;
    const usualMs = this.#learned.getFarAttemptMs(dataCentre, this.#dataCentre, routeId);
    const attemptMs = usualMs * (isCold ? COLD_FACTOR : 1);
    const bytes = bodyBytes + this.#learned.getAnswerBytes(routeId);
    const byteCost = (bytes / BYTES_PER_MEGABYTE) * this.#settings.costPerMegabyte;
    return computeAnswerValue(FAR_ROUND_TRIP_MS + attemptMs, request) - nearValue - cost - byteCost;
  }

  #refreshShare(offers: readonly Offer[], now: number): void {
    this.#share.refresh(Math.max(0, ...offers.map(({ gain }) => gain)), now);
  }

  #refresh(view: ServiceView): void {
    this.#rows.refresh(view);
    this.#hasNearSlots = this.#rows.near.slots > 0;
  }
}
