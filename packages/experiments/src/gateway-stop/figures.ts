/**
 * What callers of a rolling restart saw, counted. An attempt is one request with an id of its own; a
 * request may take several.
 */
import type { CallerAttempt } from '@baobabline/stand-ins';

/** One planned stop; times are of `performance.now()`. */
export type SeenStop = {
  readonly address: string;
  readonly signalAt: number;
  readonly exitAt: number;
  /** Whether the process had to be killed when its grace period was over. */
  readonly isKilled: boolean;
};

export type StopRecord = {
  /** The attempts of each request, in order. */
  readonly requests: readonly (readonly CallerAttempt[])[];
  readonly stops: readonly SeenStop[];
  /** Processes that ended without having been told to. */
  readonly ownEnds: number;
  /** Ids of attempts that an upstream ran. */
  readonly runIds: ReadonlySet<string>;
};

export type CutTimes = {
  readonly sentMs: number | undefined;
  readonly closedMs: number | undefined;
};

export type GatewayStopFigures = {
  readonly requests: number;
  /** Attempts, repeats included. */
  readonly sent: number;
  /** Attempts answered with success. */
  readonly answered: number;
  /** Attempts refused by a daemon between its SIGTERM and its end, and their share of all. */
  readonly refusedInStop: number;
  readonly refusedInStopShare: number;
  readonly refusedElsewhere: number;
  /** Requests that were refused in a stop and served by a later attempt. */
  readonly servedAfterRefusal: number;
  /** Attempts whose connection ended without an answer although an upstream ran them. */
  readonly cut: number;
  readonly cutShare: number;
  /** The same without a run: the request met the close of its connection. */
  readonly closedUnread: number;
  readonly unreachable: number;
  readonly timedOut: number;
  /** Attempts with any other answer. */
  readonly otherAnswers: number;
  /** Requests without success in the end, and those of them that a stop had refused. */
  readonly lost: number;
  readonly lostAfterRefusal: number;
  readonly stops: number;
  readonly killed: number;
  readonly ownEnds: number;
  readonly longestStopMs: number;
  readonly meanStopMs: number;
  /** Cut attempts by the time since the last SIGTERM of their daemon, where there was one. */
  readonly cutTimes: readonly CutTimes[];
};

const SUCCESS_STATUS = 200;
const UNAVAILABLE_STATUS = 503;

function isServed({ status }: CallerAttempt): boolean {
  return status === SUCCESS_STATUS;
}

function countTrue<Item>(items: readonly Item[], check: (item: Item) => boolean): number {
  return items.filter(check).length;
}

export function computeFigures({
  requests,
  stops,
  ownEnds,
  runIds,
}: StopRecord): GatewayStopFigures {
  const isInStop = ({ address, endAt }: CallerAttempt): boolean =>
    stops.some(
      (stop) => stop.address === address && endAt >= stop.signalAt && endAt <= stop.exitAt,
    );
  const isRefused = ({ status }: CallerAttempt): boolean => status === UNAVAILABLE_STATUS;
  const isRefusedInStop = (one: CallerAttempt): boolean => isRefused(one) && isInStop(one);
  const isCut = ({ failure, requestId }: CallerAttempt): boolean =>
    failure === 'closed' && runIds.has(requestId);
  const attempts = requests.flat();
  const sent = attempts.length;
  const refusedInStop = countTrue(attempts, isRefusedInStop);
  const cut = attempts.filter(isCut);
  const closed = countTrue(attempts, ({ failure }) => failure === 'closed');
  const lost = requests.filter((one) => !one.some(isServed));
  const stopMs = stops.map(({ signalAt, exitAt }) => exitAt - signalAt);
  const answered = countTrue(attempts, isServed);
  const refused = countTrue(attempts, isRefused);
  const unanswered = countTrue(attempts, ({ failure }) => failure !== undefined);
  return {
    requests: requests.length,
    sent,
    answered,
    refusedInStop,
    refusedInStopShare: refusedInStop / Math.max(1, sent),
    refusedElsewhere: refused - refusedInStop,
    servedAfterRefusal: countTrue(
      requests,
      (one) => one.some(isRefusedInStop) && one.some(isServed),
    ),
    cut: cut.length,
    cutShare: cut.length / Math.max(1, sent),
    closedUnread: closed - cut.length,
    unreachable: countTrue(attempts, ({ failure }) => failure === 'unreachable'),
    timedOut: countTrue(attempts, ({ failure }) => failure === 'timed-out'),
    otherAnswers: sent - answered - refused - unanswered,
    lost: lost.length,
    lostAfterRefusal: countTrue(lost, (one) => one.some(isRefusedInStop)),
    stops: stops.length,
    ownEnds,
    killed: countTrue(stops, ({ isKilled }) => isKilled),
    longestStopMs: Math.round(Math.max(0, ...stopMs)),
    meanStopMs: Math.round(stopMs.reduce((sum, ms) => sum + ms, 0) / Math.max(1, stopMs.length)),
    cutTimes: cut.map(({ address, sentAt, endAt }) => {
      const stop = stops.findLast((one) => one.address === address && one.signalAt <= endAt);
      return {
        sentMs: stop && Math.round(sentAt - stop.signalAt),
        closedMs: stop && Math.round(endAt - stop.signalAt),
      };
    }),
  };
}
