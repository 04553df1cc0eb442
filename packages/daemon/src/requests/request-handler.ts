/**
 * Handles a request in the daemon: admits it, finds the daemon that may run it, places it at a
 * daemon with a free slot, and returns the answer.
 */
import {
  computeBytesDigest,
  createRefusal,
  parseRequest,
  RequestError,
  toRequestError,
} from '@baobabline/core';
import type {
  Clock,
  CrashReports,
  IdempotencyKeyStore,
  Member,
  RandomSource,
  RawRequest,
  RequestHead,
  ResultCode,
  Settlement,
} from '@baobabline/core';
import { randomUUID } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';

import type { DecisionLog } from '../decisions/index.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { PeerLoads } from '../fleet/peer-loads.js';
import type { PlanLimits } from '../limits/plan-limits.js';
import type { ServiceState } from '../services/index.js';
import type { PeerForwarder } from './peer-forwarder.js';
import { FREE_HEADER, WAIT_HEADER } from './headers.js';
import { RequestRun } from './request-run.js';
import type { RequestRunDependencies } from './request-run.js';
import type { Answer, Job } from './types.js';

export type IncomingRequest = {
  readonly raw: RawRequest & { readonly headers: IncomingHttpHeaders };
  readonly body: Buffer;
  readonly cancelled: AbortSignal;
};

export type RequestHandlerDependencies = RequestRunDependencies & {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly loads: PeerLoads;
  readonly limits: PlanLimits;
  readonly keyStore: IdempotencyKeyStore<Answer>;
  readonly crashReports: CrashReports;
  readonly forwarder: PeerForwarder;
  readonly decisions: DecisionLog;
  readonly random: RandomSource;
  readonly findService: (name: string) => ServiceState | undefined;
  /** Throws a refusal while the daemon has no current view of the fleet or may end before a deadline. */
  readonly checkReady: (deadline: number) => void;
};

type Place =
  | { readonly kind: 'here' }
  | { readonly kind: 'peer'; readonly member: Member; readonly mayWait: boolean };

const MAX_PLACES = 4;
const UNPLACED_CODES: ReadonlySet<ResultCode['name']> = new Set([
  'owner-unreachable',
  'not-ready',
  'stopping',
  'daemon-paused',
  'queue-full',
  'no-capacity',
  'no-upstream',
]);

function computeFingerprint(head: RequestHead, body: Buffer): string {
  const text = `${head.customer}|${head.kind}|${head.method}|${head.service}${head.path}|`;
  return computeBytesDigest(Buffer.concat([Buffer.from(text), body]));
}

export class RequestHandler {
  readonly #dependencies: RequestHandlerDependencies;

  readonly #runs = new Set<RequestRun>();

  readonly #keyedRuns = new Map<string, Promise<Answer>>();

  #inFlight = 0;

  constructor(dependencies: RequestHandlerDependencies) {
    this.#dependencies = dependencies;
  }

  /** Number of requests that this daemon has accepted and not yet answered. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Number of this daemon's free slots for a service, less its queued requests. */
  countFree(service: string): number {
    const pool = this.#dependencies.findService(service)?.pool;
    return pool ? pool.countFree() - pool.waitingCount : 0;
  }

  /** Whether another dispatcher of the service probably has a free slot. */
  hasFreeSlotElsewhere(service: string): boolean {
    return this.#drawRoomyPeer(service, []) !== undefined;
  }

  runTick(): void {
    const now = this.#dependencies.clock.now();
    this.#runs.forEach((run) => run.runTick(now));
  }

  /** Handles a request from a caller. Rejects with a RequestError. */
  async handleCaller(incoming: IncomingRequest, head: RequestHead): Promise<Answer> {
    return this.#count(async () => {
      this.#dependencies.checkReady(this.#dependencies.clock.now() + head.timeAllowedMs);
      const job = await this.#admit(incoming, head);
      return job.head.key ? this.#routeKeyed(job) : this.#place(job);
    });
  }

  /** Handles a keyed request that a peer forwarded because only this daemon may run it. */
  async handleRun(incoming: IncomingRequest): Promise<Answer> {
    return this.#count(async () => {
      const job = { ...this.#createTrustedJob(incoming), mayMove: true, mayWait: true };
      if (!job.head.key || !this.#dependencies.keyStore.isOwnKey(job.head.key)) {
        throw createRefusal('runnerGone');
      }
      return this.#runKeyed(job);
    });
  }

  /** Handles a request that a peer forwarded to the slots of this daemon. */
  async handleDispatch(incoming: IncomingRequest): Promise<Answer> {
    return this.#count(async () => {
      const job = this.#createTrustedJob(incoming);
      this.#dependencies.checkReady(job.deadline);
      this.#checkQuarantine(job);
      return this.#runHere(job);
    });
  }

  async #count(handle: () => Promise<Answer>): Promise<Answer> {
    this.#inFlight += 1;
    try {
      return await handle();
    } finally {
      this.#inFlight -= 1;
    }
  }

  async #admit(incoming: IncomingRequest, head: RequestHead): Promise<Job> {
    const { plans } = this.#dependencies.view;
    if (!plans) throw createRefusal('notReady', { retryAfterSeconds: 1 });
    const arrivedAt = this.#dependencies.clock.now();
    const admission = plans.admit(head, incoming.body.length);
    const job = {
      head,
      headers: incoming.raw.headers,
      body: incoming.body,
      cancelled: incoming.cancelled,
      deadline: arrivedAt + head.timeAllowedMs,
      repeatable: admission.repeatable,
      weight: admission.kind.weight,
      share: admission.plan.share,
      fingerprint: computeFingerprint(head, incoming.body),
      mayMove: true,
      mayWait: true,
    };
    this.#checkQuarantine(job);
    await this.#dependencies.limits.take(head.customer, admission.plan, admission.kind.weight);
    return job;
  }

  #createTrustedJob({ raw, body, cancelled }: IncomingRequest): Job {
    const head = parseRequest(raw, randomUUID);
    const plan = this.#dependencies.view.plans?.findPlan(head.customer);
    const rule = plan?.services.find(({ name }) => name === head.service);
    return {
      head,
      headers: raw.headers,
      body,
      cancelled,
      deadline: this.#dependencies.clock.now() + head.timeAllowedMs,
      repeatable: head.repeatable,
      weight: rule?.kinds.find(({ name }) => name === head.kind)?.weight ?? 1,
      share: plan?.share ?? 1,
      fingerprint: computeFingerprint(head, body),
      mayMove: false,
      mayWait: raw.headers[WAIT_HEADER] !== 'no',
    };
  }

  #checkQuarantine(job: Job): void {
    if (
      !this.#dependencies.crashReports.isEmpty &&
      this.#dependencies.crashReports.isQuarantined(job.fingerprint)
    ) {
      throw createRefusal('requestPoisonous');
    }
  }

  async #routeKeyed(job: Job): Promise<Answer> {
    const { key } = job.head;
    const { keyStore, view, forwarder } = this.#dependencies;
    if (!key || keyStore.isOwnKey(key)) return this.#runKeyed(job);
    const runner = view.membership.members.get(key.daemonId);
    if (!runner || runner.incarnation !== key.incarnation || runner.state === 'left') {
      throw createRefusal('runnerGone');
    }
    this.#recordForward(job, runner);
    return forwarder.send(job, runner, 'run').catch((error: unknown) => {
      const refusal = toRequestError(error);
      const cannotTell = refusal.result.name === 'owner-unreachable';
      throw cannotTell ? createRefusal('runnerGone') : refusal;
    });
  }

  /** Runs a request with a key of this daemon only once, however often it is sent. */
  async #runKeyed(job: Job): Promise<Answer> {
    const { keyStore, clock } = this.#dependencies;
    const keyText = job.head.keyText as string;
    const decision = keyStore.begin(keyText, job.fingerprint, clock.now());
    if (decision.kind === 'repeat') return this.#answerFromSettlement(decision.settlement);
    if (decision.kind === 'wait') return this.#keyedRuns.get(keyText) as Promise<Answer>;
    // A keyed request continues until its deadline if the caller goes, so a resend finds its answer.
    const uncancelled = { ...job, cancelled: new AbortController().signal };
    const run = this.#settleKeyed(keyText, this.#place(uncancelled));
    this.#keyedRuns.set(keyText, run);
    try {
      return await run;
    } finally {
      this.#keyedRuns.delete(keyText);
    }
  }

  async #settleKeyed(keyText: string, placed: Promise<Answer>): Promise<Answer> {
    try {
      const answer = await placed;
      this.#dependencies.keyStore.settle(keyText, this.#buildSettlement(answer));
      return answer;
    } catch (error) {
      const refusal = toRequestError(error);
      this.#dependencies.keyStore.settle(keyText, { kind: 'unknown', error: refusal });
      throw refusal;
    }
  }

  #buildSettlement(answer: Answer): Settlement<Answer> {
    if (!Buffer.isBuffer(answer.body)) {
      return { kind: 'unknown', error: createRefusal('answerNotKept') };
    }
    return { kind: 'answered', answer, bytes: answer.body.length };
  }

  #answerFromSettlement(settlement: Settlement<Answer>): Answer {
    if (settlement.kind === 'answered') return settlement.answer;
    throw settlement.error;
  }

  async #place(job: Job): Promise<Answer> {
    return this.#tryPlaces(job, []);
  }

  async #tryPlaces(job: Job, tried: readonly string[]): Promise<Answer> {
    const place = this.#choosePlace(job, tried);
    if (!place) throw createRefusal('ownerUnreachable', { retryAfterSeconds: 1 });
    const placeId = place.kind === 'here' ? this.#selfId : place.member.id;
    try {
      return await (place.kind === 'here'
        ? this.#runHere(job)
        : this.#sendTo({ ...job, mayWait: place.mayWait }, place.member));
    } catch (error) {
      const refusal = toRequestError(error);
      const mayTry = this.#canTryElsewhere(job, refusal) && tried.length + 1 < MAX_PLACES;
      const triedNow = [...tried, placeId];
      if (!mayTry || !this.#choosePlace(job, triedNow)) throw refusal;
      return this.#tryElsewhere(job, triedNow, refusal);
    }
  }

  /** If a request may have run at one daemon, a later refusal must not report it as not run. */
  async #tryElsewhere(job: Job, tried: readonly string[], earlier: RequestError): Promise<Answer> {
    try {
      return await this.#tryPlaces(job, tried);
    } catch (error) {
      const refusal = toRequestError(error);
      const hides = earlier.result.outcome === 'unknown' && refusal.result.outcome === 'not-run';
      throw hides ? earlier : refusal;
    }
  }

  #canTryElsewhere(job: Job, refusal: RequestError): boolean {
    if (job.cancelled.aborted || this.#dependencies.clock.now() >= job.deadline) return false;
    if (UNPLACED_CODES.has(refusal.result.name)) return true;
    return job.repeatable && refusal.result.name === 'peer-lost';
  }

  get #selfId(): string {
    return this.#dependencies.view.membership.self.id;
  }

  #choosePlace(job: Job, tried: readonly string[]): Place | undefined {
    const { service } = job.head;
    const own = tried.includes(this.#selfId) ? undefined : this.#dependencies.findService(service);
    if (own?.pool.hasFreeSlot() === true) return { kind: 'here' };
    const canRunHere = own?.pool.hasUsableSlots() ?? false;
    const roomy = tried.length + 1 < MAX_PLACES ? this.#drawRoomyPeer(service, tried) : undefined;
    if (roomy) return { kind: 'peer', member: roomy, mayWait: false };
    if (canRunHere) return { kind: 'here' };
    const member =
      this.#chooseLeastLoadedPeer(service, tried) ?? this.#chooseLeastLoadedPeer(service, []);
    return member && { kind: 'peer', member, mayWait: true };
  }

  /**
   * Draws a peer with a probability proportional to its free slots. Load reports are some hundred
   * milliseconds old; if every daemon chose the best peer, that peer would be overloaded.
   */
  #drawRoomyPeer(service: string, tried: readonly string[]): Member | undefined {
    const { loads, random } = this.#dependencies;
    const rooms = this.#listPeers(service, tried)
      .map((member) => ({ member, room: loads.computeRoom(member.id, service) }))
      .filter(({ room }) => room > 0);
    const total = rooms.reduce((sum, { room }) => sum + room, 0);
    const draw = random.next() * total;
    const index = rooms.findIndex(
      (_, at) => draw < rooms.slice(0, at + 1).reduce((sum, { room }) => sum + room, 0),
    );
    return rooms[index]?.member;
  }

  #chooseLeastLoadedPeer(service: string, tried: readonly string[]): Member | undefined {
    const { loads } = this.#dependencies;
    return this.#listPeers(service, tried).reduce<Member | undefined>((best, owner) => {
      const isBetter =
        !best || loads.computeRoom(owner.id, service) > loads.computeRoom(best.id, service);
      return isBetter ? owner : best;
    }, undefined);
  }

  #listPeers(service: string, tried: readonly string[]): readonly Member[] {
    const { membership, services } = this.#dependencies.view;
    const owners = services.get(service)?.owners ?? [];
    return owners
      .filter(({ id }) => id !== this.#selfId && !tried.includes(id))
      .filter(({ id }) => membership.members.get(id)?.state === 'serving')
      .filter(({ id }) => !membership.brokenLinks.has(id));
  }

  async #sendTo(job: Job, member: Member): Promise<Answer> {
    const { loads, forwarder } = this.#dependencies;
    const { service } = job.head;
    this.#recordForward(job, member);
    loads.addOutstanding(member.id, service, 1);
    try {
      const answer = await forwarder.send(job, member, 'dispatch');
      loads.recordFree(member.id, service, Number(answer.headers[FREE_HEADER]));
      return answer;
    } catch (error) {
      if (!job.mayWait) loads.recordFree(member.id, service, 0);
      throw error;
    } finally {
      loads.addOutstanding(member.id, service, -1);
    }
  }

  async #runHere(job: Job): Promise<Answer> {
    const service = this.#dependencies.findService(job.head.service);
    if (!service) throw createRefusal('ownerUnreachable', { retryAfterSeconds: 1 });
    if (this.#dependencies.clock.now() >= job.deadline) throw createRefusal('deadlinePassed');
    const run = new RequestRun(job, service, this.#dependencies);
    this.#runs.add(run);
    run.start();
    try {
      return await run.outcome;
    } finally {
      this.#runs.delete(run);
    }
  }

  #recordForward(job: Job, member: Member): void {
    this.#dependencies.decisions.record({
      requestId: job.head.requestId,
      service: job.head.service,
      step: 'handed-on',
      daemon: member.id,
      timeLeftMs: Math.round(job.deadline - this.#dependencies.clock.now()),
    });
  }
}
