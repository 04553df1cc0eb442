/**
 * Judges whether requests were cut: an upstream ran them, or they had been sent whole for some time,
 * and they ended without a whole answer; around a planned stop also those which a daemon ended with a
 * failure of its own. Only a named excuse with evidence lets a cut pass; trouble of the store is none.
 */
import type { Fault, SeenRequest, SeenRun, SoakRecord, Strike } from './types.js';

/** A request with its runs, and the stop of the daemon which it met. */
type Case = {
  readonly record: SoakRecord;
  readonly request: SeenRequest;
  readonly runs: readonly SeenRun[];
  readonly stop: Strike | undefined;
};

/**
 * A request that is sent so shortly before a connection is closed may not have been read; where the
 * daemon had answered nothing on that connection yet, it may not have accepted it either.
 */
const LOSS_SLACK_MS = 200;
const ACCEPT_SLACK_MS = 1000;
/** A planned stop lasts until so long after its grace. */
const STOP_END_MS = 1000;
/** A request that ends so shortly before its deadline has reached it. */
const DEADLINE_MARGIN_MS = 50;
/** Part of the grace after which work of requests that were sent early may be broken off. */
const LAST_PART = 5 / 6;
const EARLY_MS = 3000;
/** A daemon that goes on after a pause needs a moment to catch up. */
const WAKE_MS = 50;
/** What runs this shortly before a trouble may still be on its way when the trouble comes. */
const KILL_SLACK_MS = 10;
const FIRST_FAILURE = 500;
/** Statuses that promise that the request has not run and never will. */
export const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];
/** Faults of an instance after which it answers nothing, or nothing whole. */
const BROKEN_FAULTS: readonly string[] = ['reset', 'hang', 'unframed-cut', 'errors', 'crash'];
/** Links that are only slow bring everything. */
const HARMLESS_LINK_KINDS: readonly string[] = ['link-delay'];

export function groupRuns(runs: readonly SeenRun[]): ReadonlyMap<string, readonly SeenRun[]> {
  const groups = new Map<string, SeenRun[]>();
  runs.forEach((run) => {
    const group = groups.get(run.requestId);
    if (group) group.push(run);
    else groups.set(run.requestId, [run]);
  });
  return groups;
}

function listOwn({ record, request }: Case, kind: Strike['kind']): readonly Strike[] {
  return record.struck.filter(
    (strike) =>
      strike.kind === kind && strike.daemon === request.daemon && strike.life === request.life,
  );
}

function sumOverlap(
  spans: readonly { readonly fromMs: number; readonly toMs: number }[],
  fromMs: number,
  toMs: number,
): number {
  return spans
    .map((span) => Math.min(span.toMs, toMs) - Math.max(span.fromMs, fromMs))
    .filter((ms) => ms > 0)
    .reduce((sum, ms) => sum + ms, 0);
}

/** How long this process was held up in a span of time: so much later it may have seen its end. */
export function computeStall({ stalls }: SoakRecord, fromMs: number, toMs: number): number {
  return sumOverlap(stalls, fromMs, toMs);
}

/** How long a daemon stood still in a span of time, and needed to catch up. */
export function computeStandstill(
  { struck }: SoakRecord,
  { daemon, life }: { readonly daemon: string; readonly life: number },
  fromMs: number,
  toMs: number,
): number {
  const spans = struck
    .filter(({ kind }) => kind === 'pause')
    .filter((pause) => pause.daemon === daemon && pause.life === life)
    .map((pause) => ({ fromMs: pause.atMs, toMs: pause.endMs + WAKE_MS }));
  return sumOverlap(spans, fromMs, toMs);
}

function isLinkDisturbed({ links }: SoakRecord, fromMs: number, toMs: number, instance?: string) {
  return links
    .filter(({ kind }) => !HARMLESS_LINK_KINDS.includes(kind))
    .some(
      (link) =>
        (instance === undefined || link.instance === instance) &&
        link.fromMs <= toMs &&
        link.toMs >= fromMs,
    );
}

/** Whether an instance would have answered, and its answer would have come to the daemon. */
function isSound({ record, request }: Case, run: SeenRun): boolean {
  if (run.fault !== undefined && BROKEN_FAULTS.includes(run.fault)) return false;
  // It may have been on its way to the instance before it ran.
  return !isLinkDisturbed(record, request.sentMs, request.endMs, run.instance);
}

type Excuse = { readonly name: string; readonly holds: (one: Case) => boolean };

const EXCUSES: readonly Excuse[] = [
  {
    name: 'the daemon was killed',
    holds: (one) =>
      listOwn(one, 'kill').some(({ atMs }) => atMs <= one.request.endMs + KILL_SLACK_MS),
  },
  {
    name: 'the upstream broke off or hung, or its link was disturbed',
    holds: ({ runs, ...one }) =>
      runs.length > 0 && !runs.some((run) => isSound({ ...one, runs }, run)),
  },
  {
    name: 'a link was disturbed that it may have been waiting for',
    holds: ({ record, request: { sentMs, endMs }, runs }) =>
      runs.length === 0 && isLinkDisturbed(record, sentMs, endMs),
  },
  {
    name: 'its deadline had come',
    holds: ({ record, request }) => {
      const { sentMs, endMs, timeLimitMs } = request;
      const slackMs = DEADLINE_MARGIN_MS + computeStandstill(record, request, sentMs, endMs);
      return endMs - sentMs >= Math.min(timeLimitMs, record.routeTimeMs) - slackMs;
    },
  },
  {
    name: 'its upstream was at work in the last sixth of the grace',
    holds: ({ record, request, runs, stop }) => {
      if (!stop || request.sentMs > stop.atMs + EARLY_MS) return false;
      const slackMs = computeStandstill(record, request, stop.atMs, request.endMs);
      const lastMs = stop.atMs + record.graceMs * LAST_PART - slackMs;
      return runs.some(({ endMs }) => endMs >= lastMs);
    },
  },
  {
    name: 'an answer before it had announced the end of the connection',
    holds: ({ request, runs }) => runs.length === 0 && request.isBehindLast,
  },
];

/** The planned stop that a request met on its daemon. */
function findStop({ struck, graceMs }: SoakRecord, request: SeenRequest): Strike | undefined {
  return struck.find(
    ({ kind, daemon, life, atMs }) =>
      kind === 'stop' &&
      daemon === request.daemon &&
      life === request.life &&
      atMs <= request.endMs &&
      atMs + graceMs + STOP_END_MS >= request.sentMs,
  );
}

/** Whether a request that did not run had been there for so long that the daemon had read it. */
function isRead({ record, request }: Case): boolean {
  const { wholeMs, endMs, isReused } = request;
  if (wholeMs === undefined) return false;
  const lateMs =
    computeStall(record, wholeMs, endMs) + computeStandstill(record, request, wholeMs, endMs);
  return endMs - wholeMs - lateMs > (isReused ? LOSS_SLACK_MS : ACCEPT_SLACK_MS);
}

function isCut(one: Case): boolean {
  const { request, runs, stop } = one;
  const { status, signature } = request;
  if (status === 0) return runs.length > 0 || isRead(one);
  const isOwnFailure =
    status >= FIRST_FAILURE && signature === '' && !NOT_RUN_STATUSES.includes(status);
  return stop !== undefined && isOwnFailure && runs.length > 0;
}

function listCuts(record: SoakRecord): readonly Case[] {
  const runs = groupRuns(record.runs);
  return record.requests
    .map((request): Case => ({
      record,
      request,
      runs: runs.get(request.id) ?? [],
      stop: findStop(record, request),
    }))
    .filter(isCut);
}

function describeCut({ request, runs, stop }: Case): string {
  const { id, daemon, life, caller, method, status, sentMs, endMs, timeLimitMs } = request;
  const startMs = stop?.atMs ?? 0;
  const format = (atMs: number): string => String(Math.round(atMs - startMs));
  const ran = runs.map((run) => `${run.instance} ${format(run.atMs)} to ${format(run.endMs)}`);
  return (
    `${id} at ${daemon}-${life}, ${caller} ${method} of ${timeLimitMs} ms, ended with ${status}: sent ` +
    `${format(sentMs)}, ended ${format(endMs)} ms after ${stop ? 'the signal' : 'the start'}; ${
      ran.length > 0 ? `ran at ${ran.join(', ')}` : 'not run'
    }`
  );
}

/** Requests that were cut and have no excuse. */
export function checkCuts(record: SoakRecord): readonly Fault[] {
  return listCuts(record)
    .filter((one) => !EXCUSES.some(({ holds }) => holds(one)))
    .map((one) => ({
      promise: one.stop ? 'stops cut nothing' : 'nothing is cut',
      detail: describeCut(one),
    }));
}

/** How many cuts each excuse has let pass; the first that holds counts. */
export function countExcused(record: SoakRecord): Readonly<Record<string, number>> {
  const cuts = listCuts(record);
  const names = cuts.flatMap((one) => EXCUSES.find(({ holds }) => holds(one))?.name ?? []);
  return Object.fromEntries(
    [...new Set(names)].map((name) => [name, names.filter((other) => other === name).length]),
  );
}
