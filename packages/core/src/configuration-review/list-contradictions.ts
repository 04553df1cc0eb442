/**
 * Lists limits of a configuration that contradict each other. Daemons accept such a configuration, but
 * one of the limits does not do what it says.
 */
import type { ClientAccount } from '../accounts/index.js';
import type { CallerLimits, Route, RoutingConfiguration } from '../routes/index.js';
import type { Finding } from './types.js';

const MS_PER_SECOND = 1000;

function buildContradiction(place: string, message: string): Finding {
  return { kind: 'contradiction', place, message };
}

function formatSeconds(ms: number): string {
  return `${ms / MS_PER_SECOND} s`;
}

function listOfRoute(
  route: Route,
  { idleTimeoutMs, maxBodyBytes }: CallerLimits,
): readonly Finding[] {
  const { id, kind, timeoutMs, targetLatencyMs } = route;
  const timeout = formatSeconds(timeoutMs);
  const messages = [
    timeoutMs === 0 ? 'its timeout is 0, so that each request is refused' : undefined,
    timeoutMs > 0 && targetLatencyMs > timeoutMs
      ? `its target latency of ${formatSeconds(targetLatencyMs)} is above its timeout of ${timeout}`
      : undefined,
    timeoutMs > idleTimeoutMs
      ? `its timeout of ${timeout} is above the idle limit of ${formatSeconds(idleTimeoutMs)}`
      : undefined,
    kind === 'upload' && maxBodyBytes === 0
      ? 'it takes uploads, but requests may have no body'
      : undefined,
  ];
  return messages.flatMap((message) =>
    message === undefined ? [] : [buildContradiction(`route ${id}`, message)],
  );
}

function listOfAccount(
  { name, ratePerSecond, burst }: ClientAccount,
  windowMs: number,
): readonly Finding[] {
  const place = `account ${name}`;
  if (ratePerSecond === undefined) {
    if (burst === 0) return [];
    return [buildContradiction(place, `its burst of ${burst} has no effect without a rate`)];
  }
  if (burst < 1) {
    const message = `its burst of ${burst} admits no request, whatever its rate of ${ratePerSecond} a second`;
    return [buildContradiction(place, message)];
  }
  const allowed = (ratePerSecond * windowMs) / MS_PER_SECOND;
  if (burst <= allowed) return [];
  const message = `its burst of ${burst} is above the ${allowed} requests that its rate allows in ${formatSeconds(windowMs)}`;
  return [buildContradiction(place, message)];
}

/** `quotaWindowMs` is the span for which the quotas of accounts count. */
export function listContradictions(
  { routes, limits, accounts = [] }: RoutingConfiguration,
  quotaWindowMs: number,
): readonly Finding[] {
  const { headerTimeoutMs, idleTimeoutMs } = limits;
  const header = buildContradiction(
    'limits',
    `the header timeout of ${formatSeconds(headerTimeoutMs)} is above the idle limit of ${formatSeconds(idleTimeoutMs)}`,
  );
  return [
    ...(headerTimeoutMs > idleTimeoutMs ? [header] : []),
    ...routes.flatMap((route) => listOfRoute(route, limits)),
    ...accounts.flatMap((account) => listOfAccount(account, quotaWindowMs)),
  ];
}
