/**
 * Serves a request only within its account's quota, and returns its token if it ends without having
 * run: refused as not run, or given up before anything of it was sent to an upstream.
 *
 * Load pattern: all daemons start together, and none knows how much of a quota was used before. Tokens
 * accrue from none, while callers that could not connect all come at once. While a daemon is unsure, a
 * request waits for a token for a part of its target latency instead of being refused.
 */
import { createRefusal } from '@baobabline/core';
import type { Clock } from '@baobabline/core';

import type { PlacedRequest, RequestEnd, RoutedRequest, ServedRequest } from '../requests/index.js';
import type { AccountQuotas, QuotaPermit } from './account-quotas.js';

type Serve = (request: RoutedRequest, onEnd: (end: RequestEnd) => void) => PlacedRequest;

export type QuotaServing = {
  readonly clock: Clock;
  readonly quotas: Pick<AccountQuotas, 'admit'>;
  readonly serve: Serve;
};

const MS_PER_SECOND = 1000;
/** Part of the target latency that a request may wait for a token. */
const MAX_WAIT_SHARE = 0.4;
const WAIT_STEP_MS = 40;

/** A request that waits for a token, has one, or was refused. */
class QuotaBoundRequest implements ServedRequest {
  readonly #serving: QuotaServing;

  readonly #request: RoutedRequest;

  readonly #onEnd: (end: RequestEnd) => void;

  #placed: PlacedRequest | undefined;

  #release: (() => void) | undefined;

  #timer: NodeJS.Timeout | undefined;

  #isEnded = false;

  constructor(serving: QuotaServing, request: RoutedRequest, onEnd: (end: RequestEnd) => void) {
    this.#serving = serving;
    this.#request = request;
    this.#onEnd = onEnd;
  }

  get isAtUpstream(): boolean {
    return this.#placed?.isAtUpstream ?? false;
  }

  start(): void {
    const { caller } = this.#request;
    if (!caller) return;
    const permit = this.#serving.quotas.admit(caller.account);
    if (permit.kind === 'admitted') this.#serve(permit.release);
    else if (permit.isLearning && this.#mayWait) {
      this.#timer = setTimeout(() => this.start(), WAIT_STEP_MS);
    } else this.#refuse(permit);
  }

  cancel(): void {
    clearTimeout(this.#timer);
    if (!this.#isEnded && !this.#placed?.hasBeenSent) this.#release?.();
    this.#isEnded = true;
    this.#placed?.cancel();
  }

  failAsStopping(): void {
    clearTimeout(this.#timer);
    if (this.#placed) this.#placed.failAsStopping();
    else this.#finish({ kind: 'refused', error: createRefusal('stopping') });
  }

  get #mayWait(): boolean {
    const { arrivedAt, route } = this.#request;
    const waitedMs = this.#serving.clock.now() - arrivedAt;
    return waitedMs + WAIT_STEP_MS <= route.targetLatencyMs * MAX_WAIT_SHARE;
  }

  #serve(release: () => void): void {
    this.#release = release;
    this.#placed = this.#serving.serve(this.#request, (end) => {
      if (!this.#isEnded && end.kind === 'refused' && end.error.result.outcome === 'not-run') {
        release();
      }
      this.#finish(end);
    });
  }

  #refuse({ retryAfterMs }: Extract<QuotaPermit, { readonly kind: 'refused' }>): void {
    const retryAfterSeconds = retryAfterMs / MS_PER_SECOND;
    this.#finish({ kind: 'refused', error: createRefusal('overQuota', { retryAfterSeconds }) });
  }

  #finish(end: RequestEnd): void {
    this.#isEnded = true;
    this.#onEnd(end);
  }
}

export function serveWithinQuota(
  serving: QuotaServing,
  request: RoutedRequest,
  onEnd: (end: RequestEnd) => void,
): ServedRequest {
  if (!request.caller) return serving.serve(request, onEnd);
  const bound = new QuotaBoundRequest(serving, request, onEnd);
  bound.start();
  return bound;
}
