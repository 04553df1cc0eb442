/**
 * Serves a request only within its account's quota, and returns its token if it ends without having
 * run: refused as not run, or given up before anything of it was sent to an upstream.
 */
import { createRefusal } from '@baobabline/core';

import type { PlacedRequest, RequestEnd, RoutedRequest, ServedRequest } from '../requests/index.js';
import type { AccountQuotas } from './account-quotas.js';

type Serve<Served> = (request: RoutedRequest, onEnd: (end: RequestEnd) => void) => Served;

const MS_PER_SECOND = 1000;

/** A refused request has ended already. */
const ENDED_REQUEST: ServedRequest = {
  isAtUpstream: false,
  cancel: () => undefined,
  failAsStopping: () => undefined,
};

export function serveWithinQuota(
  quotas: Pick<AccountQuotas, 'admit'>,
  request: RoutedRequest,
  onEnd: (end: RequestEnd) => void,
  serve: Serve<PlacedRequest>,
): ServedRequest {
  if (!request.caller) return serve(request, onEnd);
  const permit = quotas.admit(request.caller.account);
  if (permit.kind === 'refused') {
    const retryAfterSeconds = permit.retryAfterMs / MS_PER_SECOND;
    onEnd({ kind: 'refused', error: createRefusal('overQuota', { retryAfterSeconds }) });
    return ENDED_REQUEST;
  }
  let isEnded = false;
  const placed = serve(request, (end) => {
    if (!isEnded && end.kind === 'refused' && end.error.result.outcome === 'not-run') {
      permit.release();
    }
    isEnded = true;
    onEnd(end);
  });
  return {
    get isAtUpstream() {
      return placed.isAtUpstream;
    },
    cancel: () => {
      if (!isEnded && !placed.hasBeenSent) permit.release();
      isEnded = true;
      placed.cancel();
    },
    failAsStopping: () => placed.failAsStopping(),
  };
}
