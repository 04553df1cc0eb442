/**
 * Judges what a soak has seen by the promises of the users' pages: whole own answers, at most one
 * run of what may run once, true refusals, planned stops that cut nothing, no work for those that
 * left, configurations that are in force in time and never revert, processes that do not fall.
 */
import { RESULT_CODES } from '@baobabline/core';

import { checkAccounts } from './judge-accounts.js';
import {
  checkCuts,
  computeStall,
  computeStandstill,
  groupRuns,
  NOT_RUN_STATUSES,
} from './judge-cuts.js';
import type {
  Fault,
  SeenExit,
  SeenRequest,
  SeenRun,
  SeenVersion,
  SoakRecord,
  StatedLimit,
  Strike,
} from './types.js';
import { CRASHING_PATH } from './upstreams.js';

/** A configuration or an upstream's leaving takes effect so soon where the store answers. */
const IN_FORCE_MS = 2000;
/** Where the store was away, or the daemon was disturbed, so long before. */
const SETTLE_MS = 3000;
/** An upstream's rate limit allows this many times its rate in any window, and some more requests. */
const LIMIT_WINDOW_MS = 4000;
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
/** A daemon's requests count towards a limit so long after it has passed on an answer with it. */
const INFORMED_MS = 500;
/** Retries of a request that has crashed three upstreams, over the whole fleet. */
const MAX_LATE_CRASHES = 3;
const HELD_BACK_NAME = RESULT_CODES.requestHeldBack.name;
/** The harness sees the end of a process so late at most. */
const EXIT_SLACK_MS = 100;

function isWithin(atMs: number, startMs: number, endMs: number): boolean {
  return atMs >= startMs && atMs <= endMs;
}

/** Whether a disturbance of the given kinds touched a span of time, or the time before it. */
function isDisturbed(
  { disturbances }: SoakRecord,
  fromMs: number,
  toMs: number,
  prefixes: readonly string[],
): boolean {
  return disturbances.some(
    ({ kind, startMs, endMs }) =>
      prefixes.some((prefix) => kind.startsWith(prefix)) &&
      startMs <= toMs &&
      endMs + SETTLE_MS >= fromMs,
  );
}

function checkAnswer({ id, method, path, status, body, signature }: SeenRequest): readonly Fault[] {
  if (status < 200 || status >= 300) return [];
  const [instance, ...words] = body.split(' ');
  const isWhole = instance !== '' && words.join(' ') === `ran ${method} ${path}`;
  if (isWhole && signature === `sig.${id}`) return [];
  return [{ promise: 'own whole answer', detail: `${id}: ${signature} ${body}` }];
}

function checkRuns(
  request: SeenRequest,
  runs: ReadonlyMap<string, readonly SeenRun[]>,
): readonly Fault[] {
  const { id, method, status, signature } = request;
  const own = runs.get(id) ?? [];
  const twice =
    method === 'POST' && own.length > 1
      ? [{ promise: 'at most once', detail: `${id} ran at ${own.map((run) => run.instance)}` }]
      : [];
  const changed = own.some(({ bodyBytes }) => bodyBytes !== request.bodyBytes)
    ? [{ promise: 'own whole request', detail: `${id}: ${request.bodyBytes} bytes sent` }]
    : [];
  const isPromise = NOT_RUN_STATUSES.includes(status) && signature === '';
  const untrue =
    isPromise && own.length > 0
      ? [{ promise: 'true refusals', detail: `${id}: ${status}, but ran` }]
      : [];
  return [...twice, ...changed, ...untrue];
}

function checkLeavings(record: SoakRecord): readonly Fault[] {
  return record.leavings.flatMap(({ instance, atMs }) =>
    record.runs
      .filter((run) => run.instance === instance && run.atMs > atMs + IN_FORCE_MS)
      .filter((run) => !isDisturbed(record, atMs, run.atMs, ['store', 'history', 'pause', 'kill']))
      .map((run) => ({
        promise: 'no new work for who leaves',
        detail: `${run.requestId} at ${instance}, ${Math.round(run.atMs - atMs)} ms after`,
      })),
  );
}

/** An upstream that left some time before the store was restored is not used again. */
function checkRestores(record: SoakRecord): readonly Fault[] {
  const restores = record.disturbances.filter(({ kind }) => kind === 'store-restored');
  const daemonById = new Map(record.requests.map(({ id, daemon }) => [id, daemon]));
  return record.leavings.flatMap(({ instance, atMs }) => {
    const knownMs = atMs + IN_FORCE_MS;
    const restore = restores.find(({ startMs }) => startMs > knownMs);
    if (!restore || isDisturbed(record, atMs, knownMs, ['store', 'history'])) return [];
    return record.runs
      .filter((run) => run.instance === instance && run.atMs > restore.startMs)
      .filter(({ requestId, atMs: ranMs }) => {
        const daemon = daemonById.get(requestId);
        return !record.struck.some(
          (strike) =>
            strike.kind !== 'reload' &&
            strike.daemon === daemon &&
            strike.atMs < ranMs &&
            strike.endMs > atMs,
        );
      })
      .map((run) => ({
        promise: 'an upstream that left stays out after a restore',
        detail: `${run.requestId} at ${instance}, ${Math.round(run.atMs - restore.startMs)} ms after`,
      }));
  });
}

/** A daemon that once has a version in force never answers as an older one again. */
function checkReverts({ versions }: SoakRecord): readonly Fault[] {
  const seen = versions.filter(({ isThere }) => isThere);
  return seen
    .filter(({ daemon, life, version, atMs }) =>
      seen.some(
        (other) =>
          other.daemon === daemon &&
          other.life === life &&
          other.version > version &&
          other.endMs <= atMs,
      ),
    )
    .map(({ daemon, life, version, atMs }: SeenVersion) => ({
      promise: 'configurations never revert',
      detail: `${daemon}#${life}: ${version} at ${atMs}`,
    }));
}

function checkInForce(record: SoakRecord): readonly Fault[] {
  return record.versions
    .filter(({ isThere }) => !isThere)
    .flatMap(({ daemon, version, atMs, endMs }) => {
      const change = record.published.find((one) => one.version === version);
      const next = record.published.find((one) => one.version > version);
      if (!change || atMs < change.atMs + IN_FORCE_MS) return [];
      if (next && next.atMs <= endMs) return [];
      if (isDisturbed(record, change.atMs, atMs, ['store', 'history', 'pause', 'kill', 'stop'])) {
        return [];
      }
      const age = Math.round(atMs - change.atMs);
      return [{ promise: 'configurations in force', detail: `${daemon}: ${version}, ${age} ms` }];
    });
}

/** Runs at a limited upstream for daemons that knew of the limit and were not disturbed lately. */
function listLimitedRuns(
  { runs, requests, struck }: SoakRecord,
  { instance, fromMs, toMs }: StatedLimit,
): readonly number[] {
  const byId = new Map(requests.map((request) => [request.id, request]));
  const answers = requests.filter(
    ({ body, endMs }) => body.startsWith(`${instance} ran`) && endMs >= fromMs,
  );
  return runs
    .filter((run) => run.instance === instance && isWithin(run.atMs, fromMs + SETTLE_MS, toMs))
    .filter(({ requestId, atMs }) => {
      const request = byId.get(requestId);
      if (!request) return false;
      const { daemon, life } = request;
      const isInformed = answers.some(
        (answer) =>
          answer.daemon === daemon && answer.life === life && answer.endMs <= atMs - INFORMED_MS,
      );
      const isExcused = struck.some(
        (strike) =>
          strike.kind !== 'reload' &&
          strike.daemon === daemon &&
          isWithin(atMs, strike.atMs, strike.endMs + SETTLE_MS),
      );
      return isInformed && !isExcused;
    })
    .map(({ atMs }) => atMs);
}

function checkLimits(record: SoakRecord): readonly Fault[] {
  return record.limits.flatMap((limit) => {
    const times = listLimitedRuns(record, limit);
    const counts = times.map(
      (end) => times.filter((at) => at > end - LIMIT_WINDOW_MS && at <= end).length,
    );
    const most = Math.max(0, ...counts);
    const allowed = LIMIT_FACTOR * limit.perSecond * (LIMIT_WINDOW_MS / 1000) + LIMIT_SLACK;
    if (most <= allowed) return [];
    return [
      { promise: 'rate limits of upstreams', detail: `${limit.instance}: ${most} of ${allowed}` },
    ];
  });
}

/** Whether callers saw that a life of a daemon accepted connections. */
function hasServed({ requests }: SoakRecord, { daemon, life }: SeenExit): boolean {
  return requests.some(
    (request) =>
      request.daemon === daemon && request.life === life && request.wholeMs !== undefined,
  );
}

/** Why a process ended that was told to: a code other than 0, too late, or by a signal. */
function explainEnd(record: SoakRecord, exit: SeenExit, stop: Strike): string | undefined {
  const tookMs = exit.atMs - stop.atMs;
  const slackMs =
    EXIT_SLACK_MS +
    computeStandstill(record, exit, stop.atMs, exit.atMs) +
    // Daemons share the machine, and are held up where this process is.
    computeStall(record, stop.atMs, exit.atMs);
  if (tookMs > record.graceMs + slackMs) return `${Math.round(tookMs)} ms`;
  return exit.code === 0 ? undefined : `code ${exit.code}, signal ${exit.signal}`;
}

function checkExits(record: SoakRecord): readonly Fault[] {
  return record.exits.flatMap((exit) => {
    const { daemon, life, atMs, code, signal } = exit;
    const own = record.struck.filter(
      (strike) => strike.daemon === daemon && strike.life === life && strike.atMs <= atMs,
    );
    const stop = own.find(({ kind }) => kind === 'stop');
    if (signal === 'SIGKILL' && own.some(({ kind }) => kind === 'kill')) return [];
    // Until a process has made itself ready for them, signals end it.
    const isUnready = own.length > 0 && signal !== null && !hasServed(record, exit);
    if (isUnready && !own.some(({ kind }) => kind === 'overdue')) return [];
    const reason = stop ? explainEnd(record, exit, stop) : `code ${code}, signal ${signal}`;
    if (reason === undefined) return [];
    const promise = stop ? 'stops end well and in time' : 'processes do not fall';
    return [{ promise, detail: `${daemon}-${life}: ${reason}` }];
  });
}

function isCrashing({ path }: SeenRequest): boolean {
  return path.startsWith(CRASHING_PATH);
}

/**
 * A request that has crashed three upstreams reaches few more, over the whole fleet; daemons that were
 * struck lately do not count. No other request is taken for it.
 */
function checkCrashes({ requests, runs, struck }: SoakRecord): readonly Fault[] {
  const daemonById = new Map(requests.filter(isCrashing).map(({ id, daemon }) => [id, daemon]));
  const crashes = runs
    .filter(({ requestId }) => daemonById.has(requestId))
    .sort((left, right) => left.atMs - right.atMs);
  const settledMs = (crashes[2]?.endMs ?? Number.POSITIVE_INFINITY) + SETTLE_MS;
  const late = crashes.filter(
    ({ requestId, atMs }) =>
      atMs > settledMs &&
      !struck.some(
        (strike) =>
          strike.daemon === daemonById.get(requestId) &&
          isWithin(atMs, strike.atMs, strike.endMs + SETTLE_MS),
      ),
  );
  const mistaken = requests.filter(
    (request) => !isCrashing(request) && request.body.includes(HELD_BACK_NAME),
  );
  return [
    ...(late.length > MAX_LATE_CRASHES
      ? [{ promise: 'few crashes by one request', detail: `${late.length} later than three` }]
      : []),
    ...mistaken.map(({ id, path }) => ({
      promise: 'only crashing requests are held back',
      detail: `${id}: ${path}`,
    })),
  ];
}

/** Lists the promises that were broken. */
export function judgeSoak(record: SoakRecord): readonly Fault[] {
  const runs = groupRuns(record.runs);
  const sent = new Set(record.requests.map(({ id }) => id));
  const unasked = record.runs
    .filter(({ requestId }) => !sent.has(requestId))
    .map(({ requestId }) => ({ promise: 'nothing unasked', detail: requestId }));
  return [
    ...record.requests.flatMap((request) => [...checkAnswer(request), ...checkRuns(request, runs)]),
    ...unasked,
    ...checkCuts(record),
    ...checkLeavings(record),
    ...checkRestores(record),
    ...checkReverts(record),
    ...checkInForce(record),
    ...checkExits(record),
    ...checkLimits(record),
    ...checkCrashes(record),
    ...checkAccounts(record, runs),
  ];
}
