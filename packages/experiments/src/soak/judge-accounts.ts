/**
 * Judges a soak by the promises about client accounts: upstreams see the caller's account and never its
 * key, a removed key ends in time on every daemon, and no account runs more than its quota.
 */
import { REMOVED_ACCOUNT, REVOCATION_MS } from './accounts.js';
import type { Fault, Quota, SeenRequest, SeenRun, SoakRecord } from './types.js';

const UNAUTHORIZED_STATUS = 401;
const MS_PER_SECOND = 1000;

function checkRun(run: SeenRun, request: SeenRequest): readonly Fault[] {
  const { requestId, account, hasCredentials } = run;
  const leaked = hasCredentials ? [{ promise: 'keys stay in the fleet', detail: requestId }] : [];
  if (account === request.account) return leaked;
  const detail = `${requestId} of ${request.account} ran for ${account}`;
  return [...leaked, { promise: 'own account', detail }];
}

function checkRemoval(
  { sentMs, id, account }: SeenRequest,
  runs: readonly SeenRun[],
  keyRemovedMs: number,
): readonly Fault[] {
  const isLate = account === REMOVED_ACCOUNT.name && sentMs > keyRemovedMs + REVOCATION_MS;
  if (!isLate || runs.length === 0) return [];
  const afterMs = Math.round(sentMs - keyRemovedMs);
  return [{ promise: 'removed keys end in time', detail: `${id}, sent ${afterMs} ms after` }];
}

/** No configuration of a soak leaves out the keys of the other accounts. */
function checkRefusals({ id, account, status }: SeenRequest): readonly Fault[] {
  if (status !== UNAUTHORIZED_STATUS || account === REMOVED_ACCOUNT.name) return [];
  return [{ promise: 'known keys are accepted', detail: `${id} of ${account}` }];
}

function checkQuota(
  { account, perSecond, burst, windowMs, overshoot, slack }: Quota,
  requests: readonly SeenRequest[],
  runsById: ReadonlyMap<string, readonly SeenRun[]>,
): readonly Fault[] {
  const times = requests
    .filter((request) => request.account === account)
    .flatMap(({ id }) => runsById.get(id)?.[0]?.atMs ?? [])
    .sort((left, right) => left - right);
  const most = Math.max(
    0,
    ...times.map((end) => times.filter((at) => at > end - windowMs && at <= end).length),
  );
  const allowed = ((perSecond * windowMs) / MS_PER_SECOND + burst) * (1 + overshoot) + slack;
  if (most <= allowed) return [];
  return [{ promise: 'quotas', detail: `${account}: ${most} of ${allowed}` }];
}

export function checkAccounts(
  { requests, quotas, keyRemovedMs }: SoakRecord,
  runsById: ReadonlyMap<string, readonly SeenRun[]>,
): readonly Fault[] {
  return [
    ...requests.flatMap((request) => {
      const runs = runsById.get(request.id) ?? [];
      return [
        ...runs.flatMap((run) => checkRun(run, request)),
        ...checkRemoval(request, runs, keyRemovedMs),
        ...checkRefusals(request),
      ];
    }),
    ...quotas.flatMap((quota) => checkQuota(quota, requests, runsById)),
  ];
}
