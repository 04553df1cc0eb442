/**
 * What a soak brings about and what it has seen, in milliseconds since its start.
 */

/** A signal for a daemon, so long after the start of its disturbance. */
export type PlannedSignal = {
  readonly signal: 'SIGTERM' | 'SIGINT' | 'SIGHUP' | 'SIGKILL' | 'SIGSTOP';
  readonly afterMs: number;
  /** How long a suspended process stands still. */
  readonly forMs?: number;
};

/** A disturbance, from its start to its end. */
export type Disturbance = {
  readonly kind:
    | 'stop'
    | 'stop-at-start'
    | 'kill'
    | 'pause'
    | 'store-down'
    | 'store-busy'
    | 'store-slow'
    | 'store-silent'
    | 'history-lost'
    | 'store-restored'
    | 'instance-errors'
    | 'instance-shed'
    | 'instance-reset'
    | 'instance-hang'
    | 'instance-cut'
    | 'instance-extra'
    | 'link-delay'
    | 'link-one-way'
    | 'link-reset'
    | 'link-silent'
    | 'replace'
    | 'configuration';
  readonly startMs: number;
  readonly endMs: number;
  /** Which daemon or upstream it strikes, as an index that wraps around. */
  readonly target: number;
  /** What a stop consists of. */
  readonly signals?: readonly PlannedSignal[];
};

/** One request as its caller saw it. */
export type SeenRequest = {
  readonly id: string;
  readonly daemon: string;
  /** The daemon's life in which it was sent. */
  readonly life: number;
  /** The kind of caller. */
  readonly caller: string;
  /** Name of the caller's client account; empty where requests need no key. */
  readonly account: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly bodyBytes: number;
  readonly timeLimitMs: number;
  readonly sentMs: number;
  /** When its last byte was sent; undefined if it never was. */
  readonly wholeMs: number | undefined;
  readonly endMs: number;
  readonly status: number;
  /** The instance's line where the answer is whole. */
  readonly body: string;
  readonly signature: string;
  /** Whether an earlier answer on its connection had announced the end of the connection. */
  readonly isBehindLast: boolean;
  /** Whether its connection had carried an answer before, so that the daemon had accepted it. */
  readonly isReused: boolean;
};

/** One run of a request by an upstream. */
export type SeenRun = {
  readonly requestId: string;
  readonly instance: string;
  readonly atMs: number;
  /** When the instance answered, or its connection closed. */
  readonly endMs: number;
  readonly bodyBytes: number;
  /** Name of the account that the daemon stated; empty if it stated none. */
  readonly account: string;
  /** Whether the request still bore the credentials of its caller. */
  readonly hasCredentials: boolean;
  /** What kept the instance from an answer as it should be. */
  readonly fault: string | undefined;
};

/** A span of time in which the link to an instance was disturbed. */
export type LinkTrouble = {
  readonly instance: string;
  readonly kind: string;
  readonly fromMs: number;
  readonly toMs: number;
};

/** A signal that this soak itself sent. */
export type Strike = {
  readonly daemon: string;
  readonly life: number;
  readonly atMs: number;
  /** When a suspended process goes on; the same as `atMs` for other signals. */
  readonly endMs: number;
  /** `again` is a further signal to stop, `overdue` the kill of a daemon whose grace has passed. */
  readonly kind: 'stop' | 'again' | 'reload' | 'kill' | 'pause' | 'overdue';
};

/** A daemon's end of life. */
export type SeenExit = {
  readonly daemon: string;
  readonly life: number;
  readonly atMs: number;
  readonly code: number | null;
  readonly signal: string | null;
};

/** The answer of a daemon to a request that shows which configuration it has in force. */
export type SeenVersion = {
  readonly daemon: string;
  readonly life: number;
  /** When it was asked, and when it had answered. */
  readonly atMs: number;
  readonly endMs: number;
  readonly version: number;
  readonly isThere: boolean;
};

export type Leaving = { readonly instance: string; readonly atMs: number };

/** A rate limit that an instance stated during a span of time, in requests per second. */
export type StatedLimit = {
  readonly instance: string;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly toMs: number;
};

/** How many requests of a client account may run within any window. */
export type Quota = {
  readonly account: string;
  readonly perSecond: number;
  readonly burst: number;
  readonly windowMs: number;
  /** Share by which the fleet may exceed rate and burst. */
  readonly overshoot: number;
  readonly slack: number;
};

export type SoakRecord = {
  /** Time from a signal to stop until the platform would kill the daemon. */
  readonly graceMs: number;
  /** Time that the routes allow a request. */
  readonly routeTimeMs: number;
  readonly disturbances: readonly Disturbance[];
  readonly requests: readonly SeenRequest[];
  readonly runs: readonly SeenRun[];
  readonly exits: readonly SeenExit[];
  readonly versions: readonly SeenVersion[];
  /** When versions were published. */
  readonly published: readonly { readonly version: number; readonly atMs: number }[];
  readonly leavings: readonly Leaving[];
  readonly limits: readonly StatedLimit[];
  readonly quotas: readonly Quota[];
  /** When the store had accepted the removal of a key; infinite if none was removed. */
  readonly keyRemovedMs: number;
  readonly links: readonly LinkTrouble[];
  /** When this process, and so perhaps the whole machine, was held up. */
  readonly stalls: readonly { readonly fromMs: number; readonly toMs: number }[];
  readonly struck: readonly Strike[];
};

/** A promise that was broken. */
export type Fault = { readonly promise: string; readonly detail: string };
