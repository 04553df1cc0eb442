/**
 * Forwards a request to another daemon: either to one that owns slots of the service, or to the only
 * one that may run the request's idempotency key.
 */
import { createRefusal, createRequestError, findResultCode } from '@baobabline/core';
import type { Clock, Member, RequestError, ResultName } from '@baobabline/core';
import { Agent } from 'undici';

import type { Endpoint } from '../settings/index.js';
import { Attempt } from './attempt.js';
import type { Answer, AttemptResult, Job } from './types.js';

/** What the other daemon does: `dispatch` to its slots, or `run` a keyed request. */
export type ForwardRoute = 'dispatch' | 'run';

export const REFUSED_HEADER = 'baobabline-refused';

export type PeerForwarderDependencies = {
  readonly clock: Clock;
  readonly maxHeldBytes: number;
  readonly findEndpoint: (endpoint: Endpoint) => Endpoint;
};

const CONNECT_TIMEOUT_MS = 400;
const CONNECTIONS_PER_PEER = 256;
/** The other daemon enforces the deadline too, and its result is more exact than a local time-out. */
const DEADLINE_GRACE_MS = 100;
const PEER_FAILURES: Readonly<Partial<Record<ResultName, ResultName>>> = {
  noUpstream: 'ownerUnreachable',
  upstreamLost: 'peerLost',
  answerInvalid: 'peerLost',
};

function readRetryAfter(answer: Answer): number | undefined {
  const value = Number(answer.headers['retry-after']);
  return Number.isFinite(value) ? value : undefined;
}

function toPeerError(result: AttemptResult): RequestError {
  if (result.end.kind === 'answered') return createRefusal('internalError');
  const { result: name } = result.end;
  return createRefusal(PEER_FAILURES[name] ?? name, { detail: result.detail });
}

/** Reads the refusal from a peer's response; undefined if the response is an upstream's answer. */
function findRefusal(answer: Answer): RequestError | undefined {
  const refused = answer.headers[REFUSED_HEADER];
  if (refused === undefined) return undefined;
  const result = findResultCode(Number(refused));
  if (!result)
    return createRefusal('peerLost', { detail: 'The peer refused with an unknown code' });
  return createRequestError(result, { retryAfterSeconds: readRetryAfter(answer) });
}

export class PeerForwarder {
  readonly #dependencies: PeerForwarderDependencies;

  readonly #agent = new Agent({
    connections: CONNECTIONS_PER_PEER,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  constructor(dependencies: PeerForwarderDependencies) {
    this.#dependencies = dependencies;
  }

  /** Resolves with the answer that the other daemon received; rejects with a RequestError. */
  async send(job: Job, member: Member, route: ForwardRoute): Promise<Answer> {
    const { address, port } = this.#dependencies.findEndpoint({
      address: member.address,
      port: member.peerPort,
    });
    const attempt = new Attempt(job, {
      dispatcher: this.#agent,
      origin: `http://${address}:${port}`,
      path: `/${route}/${job.head.service}${job.head.path}`,
      maxHeldBytes: this.#dependencies.maxHeldBytes,
    });
    const result = await this.#waitFor(job, attempt);
    if (!result.answer) throw toPeerError(result);
    const refusal = findRefusal(result.answer);
    if (refusal) throw refusal;
    return result.answer;
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #waitFor(job: Job, attempt: Attempt): Promise<AttemptResult> {
    const timeLeft = job.deadline - this.#dependencies.clock.now();
    if (timeLeft <= 0) throw createRefusal('deadlinePassed');
    const cancel = (): void => attempt.abort('caller-gone');
    const timer = setTimeout(() => attempt.abort('deadline-reached'), timeLeft + DEADLINE_GRACE_MS);
    job.cancelled.addEventListener('abort', cancel, { once: true });
    attempt.start(timeLeft);
    try {
      return await attempt.done;
    } finally {
      clearTimeout(timer);
      job.cancelled.removeEventListener('abort', cancel);
    }
  }
}
