/**
 * The caller's side of the fleet: it asks which addresses to use, keeps the answer for as long as
 * it holds, and resends safely. A request that may not be repeated gets an idempotency key before
 * its first try and keeps it for every other, so that it runs at most once however often it is
 * sent.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { Agent, request as sendHttp } from 'undici';
import type { Dispatcher } from 'undici';

import type { Address, CallerRequest, CallerResult, ClientSettings, EntryAnswer } from './types.js';

type HeldEntries = EntryAnswer & { readonly service: string; readonly holdsUntil: number };

type Try = {
  readonly request: CallerRequest;
  readonly requestId: string;
  readonly operation: string;
  readonly deadline: number;
  readonly number: number;
  /** Whether an earlier try may have run. */
  readonly mayHaveRun: boolean;
};

const MAX_TRIES = 6;
const PAUSE_BETWEEN_TRIES_MS = 50;
const ENTRY_TIMEOUT_MS = 1000;
const MS_PER_SECOND = 1000;
/** Over the plan's rate, no capacity, queue full, upstreams shed. */
const FULL_CODES: readonly number[] = [200, 201, 202, 203];
const DEADLINE_GRACE_MS = 500;

/**
 * Pause before the next try. Where the fleet is full it says when to come back, and trying sooner
 * would only feed the wave; the random part keeps callers from coming back together.
 */
function computePauseMs(tryNumber: number, result: CallerResult): number {
  const backOff = PAUSE_BETWEEN_TRIES_MS * 2 ** (tryNumber - 1);
  if (result.kind !== 'not-run') return backOff;
  const isFull = FULL_CODES.includes(result.code);
  const asked = isFull ? (result.retryAfterSeconds ?? 0) * MS_PER_SECOND : 0;
  return Math.max(backOff, asked) * (0.5 + Math.random());
}

export class FleetClient {
  readonly #settings: ClientSettings;

  readonly #agent = new Agent({ connections: 128, connect: { timeout: ENTRY_TIMEOUT_MS } });

  readonly #held = new Map<string, HeldEntries>();

  #seedIndex = 0;

  constructor(settings: ClientSettings) {
    this.#settings = settings;
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /** Sends a request until it is answered, refused for good, or its deadline is reached. */
  async send(request: CallerRequest): Promise<CallerResult> {
    const deadline = performance.now() + request.deadlineMs;
    const requestId = request.requestId ?? randomUUID();
    const entries = await this.#getEntries(request.service, deadline);
    const operation = request.repeatable ? requestId : `${entries.keyPrefix}${randomUUID()}`;
    return this.#tryFrom({
      request,
      requestId,
      operation,
      deadline,
      number: 1,
      mayHaveRun: false,
    });
  }

  /** Asks for the addresses to use, or returns those that still hold. */
  async getEntries(service: string): Promise<EntryAnswer> {
    return this.#getEntries(service, performance.now() + ENTRY_TIMEOUT_MS);
  }

  async #tryFrom(attempt: Try): Promise<CallerResult> {
    const result = await this.#tryOnce(attempt);
    const timeLeft = attempt.deadline - performance.now();
    const mayHaveRun = attempt.mayHaveRun || result.kind === 'unknown';
    if (result.kind === 'answered' || !this.#canTryAgain(attempt, result.code, timeLeft)) {
      return this.#finish(result, attempt.mayHaveRun);
    }
    const pauseMs = computePauseMs(attempt.number, result);
    if (pauseMs >= timeLeft) return this.#finish(result, attempt.mayHaveRun);
    await wait(pauseMs);
    return this.#tryFrom({ ...attempt, number: attempt.number + 1, mayHaveRun });
  }

  #finish(result: CallerResult, mayHaveRun: boolean): CallerResult {
    return result.kind === 'not-run' && mayHaveRun ? { ...result, kind: 'unknown' } : result;
  }

  #canTryAgain(attempt: Try, code: number, timeLeft: number): boolean {
    if (attempt.number >= MAX_TRIES || timeLeft <= PAUSE_BETWEEN_TRIES_MS) return false;
    const isFinal = (code >= 100 && code < 200) || code === 304;
    return !isFinal;
  }

  async #tryOnce(attempt: Try): Promise<CallerResult> {
    const { request, requestId, operation } = attempt;
    const base = { requestId, operation, tries: attempt.number };
    try {
      const target = await this.#chooseTarget(attempt);
      const response = await this.#post(target, attempt);
      const body = Buffer.from(await response.body.arrayBuffer());
      const refused = response.headers['baobabline-refused'];
      if (refused === undefined) {
        const { statusCode: status, headers } = response;
        return { kind: 'answered', status, headers, body, ...base };
      }
      const problem = JSON.parse(body.toString()) as {
        readonly outcome: 'not-run' | 'unknown';
        readonly detail: string;
      };
      return {
        kind: problem.outcome,
        code: Number(refused),
        detail: problem.detail,
        retryAfterSeconds: Number(response.headers['retry-after'] ?? 0),
        ...base,
      };
    } catch (error) {
      this.#held.delete(request.service);
      return { kind: 'unknown', code: 0, detail: (error as Error).message, ...base };
    }
  }

  async #post(target: Address, attempt: Try): Promise<Dispatcher.ResponseData> {
    const { request, requestId, operation } = attempt;
    const timeLeft = Math.max(1, Math.floor(attempt.deadline - performance.now()));
    return sendHttp(`http://${target.address}:${target.port}/${request.service}${request.path}`, {
      dispatcher: this.#agent,
      method: request.method,
      headers: {
        ...request.headers,
        'baobabline-customer': this.#settings.customer,
        'baobabline-kind': request.kind,
        'baobabline-deadline-ms': String(timeLeft),
        'baobabline-repeatable': String(request.repeatable),
        'x-request-id': requestId,
        ...(request.repeatable ? {} : { 'idempotency-key': operation }),
      },
      body: request.body ?? null,
      headersTimeout: timeLeft + DEADLINE_GRACE_MS,
      bodyTimeout: timeLeft + DEADLINE_GRACE_MS,
    });
  }

  async #chooseTarget(attempt: Try): Promise<Address> {
    const { entries } = await this.#getEntries(attempt.request.service, attempt.deadline);
    return entries[(attempt.number - 1) % entries.length] as Address;
  }

  async #getEntries(service: string, deadline: number): Promise<EntryAnswer> {
    const held = this.#held.get(service);
    if (held && held.holdsUntil > performance.now()) return held;
    const asked = performance.now();
    const known = held ? held.entries : [];
    const answer = await this.#askForEntries(
      [...known, ...this.#settings.seeds],
      service,
      deadline,
    );
    this.#held.set(service, {
      ...answer,
      service,
      holdsUntil: asked + answer.holdSeconds * 1000,
    });
    return answer;
  }

  async #askForEntries(
    daemons: readonly Address[],
    service: string,
    deadline: number,
  ): Promise<EntryAnswer> {
    this.#seedIndex += 1;
    const daemon = daemons[this.#seedIndex % daemons.length] as Address;
    try {
      return await this.#askOne(daemon, service);
    } catch (error) {
      if (performance.now() + PAUSE_BETWEEN_TRIES_MS >= deadline) throw error;
      await wait(PAUSE_BETWEEN_TRIES_MS);
      return this.#askForEntries(daemons, service, deadline);
    }
  }

  async #askOne({ address, port }: Address, service: string): Promise<EntryAnswer> {
    const query = new URLSearchParams({
      customer: this.#settings.customer,
      service,
      ...(this.#settings.dataCentre === undefined ? {} : { dataCentre: this.#settings.dataCentre }),
    });
    const response = await sendHttp(`http://${address}:${port}/entries?${query.toString()}`, {
      dispatcher: this.#agent,
      headersTimeout: ENTRY_TIMEOUT_MS,
      bodyTimeout: ENTRY_TIMEOUT_MS,
    });
    const answer = (await response.body.json()) as EntryAnswer;
    if (response.statusCode !== 200 || answer.entries.length === 0) {
      throw new Error(`The daemon at ${address}:${port} named no entries`);
    }
    return answer;
  }
}
