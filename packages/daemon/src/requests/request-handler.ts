/**
 * The way of a request through the daemon: admit, find who may run it, place it at a daemon with
 * a free slot, and answer.
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
import type { HandOn } from './peer-forwarder.js';
import { FREE_HEADER, WAIT_HEADER } from './headers.js';
import { RequestRun } from './request-run.js';
import type { RunPorts } from './request-run.js';
import type { Answer, Job } from './types.js';

export type Arrival = {
  readonly raw: RawRequest & { readonly headers: IncomingHttpHeaders };
  readonly body: Buffer;
  readonly cancelled: AbortSignal;
};

export type RequestPathPorts = RunPorts & {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly loads: PeerLoads;
  readonly limits: PlanLimits;
  readonly ledger: IdempotencyKeyStore<Answer>;
  readonly crashReports: CrashReports;
  readonly handOn: HandOn;
  readonly decisions: DecisionLog;
  readonly random: RandomSource;
  readonly findService: (name: string) => ServiceState | undefined;
  /** Throws a refusal while the daemon has no current view of the fleet. */
  readonly checkReady: () => void;
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

export class RequestPath {
  readonly #ports: RequestPathPorts;

  readonly #runs = new Set<RequestRun>();

  readonly #keyedRuns = new Map<string, Promise<Answer>>();

  #inFlight = 0;

  constructor(ports: RequestPathPorts) {
    this.#ports = ports;
  }

  /** Requests that this daemon has taken and not yet answered. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Slots of a service that this daemon has free, less the requests that wait. */
  countFree(service: string): number {
    const pool = this.#ports.findService(service)?.pool;
    return pool ? pool.countFree() - pool.waitingCount : 0;
  }

  /** Whether another dispatcher of the service probably has a free slot. */
  hasRoomElsewhere(service: string): boolean {
    return this.#drawRoomyPeer(service, []) !== undefined;
  }

  runTick(): void {
    const now = this.#ports.clock.now();
    this.#runs.forEach((run) => run.runTick(now));
  }

  /** Handles a request from a caller. Rejects with a RequestError. */
  async handleCaller(arrival: Arrival, head: RequestHead): Promise<Answer> {
    return this.#count(async () => {
      this.#ports.checkReady();
      const job = await this.#admit(arrival, head);
      return job.head.key ? this.#routeKeyed(job) : this.#place(job);
    });
  }

  /** Handles a keyed request that a peer handed on because this daemon alone may run it. */
  async handleRun(arrival: Arrival): Promise<Answer> {
    return this.#count(async () => {
      const job = { ...this.#createTrustedJob(arrival), mayMove: true, mayWait: true };
      if (!job.head.key || !this.#ports.ledger.isOwnKey(job.head.key)) {
        throw createRefusal('runnerGone');
      }
      return this.#runKeyed(job);
    });
  }

  /** Handles a request that a peer handed on to the slots of this daemon. */
  async handleDispatch(arrival: Arrival): Promise<Answer> {
    return this.#count(async () => {
      this.#ports.checkReady();
      const job = this.#createTrustedJob(arrival);
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

  async #admit(arrival: Arrival, head: RequestHead): Promise<Job> {
    const { plans } = this.#ports.view;
    if (!plans) throw createRefusal('notReady', { retryAfterSeconds: 1 });
    const arrivedAt = this.#ports.clock.now();
    const admission = plans.admit(head, arrival.body.length);
    const job = {
      head,
      headers: arrival.raw.headers,
      body: arrival.body,
      cancelled: arrival.cancelled,
      deadline: arrivedAt + head.timeAllowedMs,
      repeatable: admission.repeatable,
      weight: admission.kind.weight,
      share: admission.plan.share,
      fingerprint: computeFingerprint(head, arrival.body),
      mayMove: true,
      mayWait: true,
    };
    this.#checkQuarantine(job);
    await this.#ports.limits.take(head.customer, admission.plan, admission.kind.weight);
    return job;
  }

  #createTrustedJob({ raw, body, cancelled }: Arrival): Job {
    const head = parseRequest(raw, randomUUID);
    const plan = this.#ports.view.plans?.findPlan(head.customer);
    const rule = plan?.services.find(({ name }) => name === head.service);
    return {
      head,
      headers: raw.headers,
      body,
      cancelled,
      deadline: this.#ports.clock.now() + head.timeAllowedMs,
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
      !this.#ports.crashReports.isEmpty &&
      this.#ports.crashReports.isQuarantined(job.fingerprint)
    ) {
      throw createRefusal('requestPoisonous');
    }
  }

  async #routeKeyed(job: Job): Promise<Answer> {
    const { key } = job.head;
    const { ledger, view, handOn } = this.#ports;
    if (!key || ledger.isOwnKey(key)) return this.#runKeyed(job);
    const runner = view.membership.members.get(key.daemonId);
    if (!runner || runner.incarnation !== key.incarnation || runner.state === 'left') {
      throw createRefusal('runnerGone');
    }
    this.#recordHandOn(job, runner);
    return handOn.send(job, runner, 'run').catch((error: unknown) => {
      const refusal = toRequestError(error);
      const cannotTell = refusal.result.name === 'owner-unreachable';
      throw cannotTell ? createRefusal('runnerGone') : refusal;
    });
  }

  /** Runs a key of this daemon once, however many times it is sent. */
  async #runKeyed(job: Job): Promise<Answer> {
    const { ledger, clock } = this.#ports;
    const keyText = job.head.keyText as string;
    const decision = ledger.begin(keyText, job.fingerprint, clock.now());
    if (decision.kind === 'repeat') return this.#repeat(decision.settlement);
    if (decision.kind === 'wait') return this.#keyedRuns.get(keyText) as Promise<Answer>;
    // A keyed request runs to its deadline, so that a resend finds its answer.
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
      this.#ports.ledger.settle(keyText, this.#buildSettlement(answer));
      return answer;
    } catch (error) {
      const refusal = toRequestError(error);
      this.#ports.ledger.settle(keyText, { kind: 'unknown', error: refusal });
      throw refusal;
    }
  }

  #buildSettlement(answer: Answer): Settlement<Answer> {
    if (!Buffer.isBuffer(answer.body)) {
      return { kind: 'unknown', error: createRefusal('answerNotKept') };
    }
    return { kind: 'answered', answer, bytes: answer.body.length };
  }

  #repeat(settlement: Settlement<Answer>): Answer {
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

  /** Once a request may have run somewhere, a later refusal may not claim that it did not. */
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
    if (job.cancelled.aborted || this.#ports.clock.now() >= job.deadline) return false;
    if (UNPLACED_CODES.has(refusal.result.name)) return true;
    return job.repeatable && refusal.result.name === 'peer-lost';
  }

  get #selfId(): string {
    return this.#ports.view.membership.self.id;
  }

  #choosePlace(job: Job, tried: readonly string[]): Place | undefined {
    const { service } = job.head;
    const own = tried.includes(this.#selfId) ? undefined : this.#ports.findService(service);
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
   * Draws a peer in proportion to the room it has: what is known of it is some hundred
   * milliseconds old, and if all chose the best one it would be swamped.
   */
  #drawRoomyPeer(service: string, tried: readonly string[]): Member | undefined {
    const { loads, random } = this.#ports;
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
    const { loads } = this.#ports;
    return this.#listPeers(service, tried).reduce<Member | undefined>((best, owner) => {
      const isBetter =
        !best || loads.computeRoom(owner.id, service) > loads.computeRoom(best.id, service);
      return isBetter ? owner : best;
    }, undefined);
  }

  #listPeers(service: string, tried: readonly string[]): readonly Member[] {
    const { membership, services } = this.#ports.view;
    const owners = services.get(service)?.owners ?? [];
    return owners
      .filter(({ id }) => id !== this.#selfId && !tried.includes(id))
      .filter(({ id }) => membership.members.get(id)?.state === 'serving')
      .filter(({ id }) => !membership.brokenLinks.has(id));
  }

  async #sendTo(job: Job, member: Member): Promise<Answer> {
    const { loads, handOn } = this.#ports;
    const { service } = job.head;
    this.#recordHandOn(job, member);
    loads.addOutstanding(member.id, service, 1);
    try {
      const answer = await handOn.send(job, member, 'dispatch');
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
    const service = this.#ports.findService(job.head.service);
    if (!service) throw createRefusal('ownerUnreachable', { retryAfterSeconds: 1 });
    if (this.#ports.clock.now() >= job.deadline) throw createRefusal('deadlinePassed');
    const run = new RequestRun(job, service, this.#ports);
    this.#runs.add(run);
    run.start();
    try {
      return await run.outcome;
    } finally {
      this.#runs.delete(run);
    }
  }

  #recordHandOn(job: Job, member: Member): void {
    this.#ports.decisions.record({
      requestId: job.head.requestId,
      service: job.head.service,
      step: 'handed-on',
      daemon: member.id,
      timeLeftMs: Math.round(job.deadline - this.#ports.clock.now()),
    });
  }
}
