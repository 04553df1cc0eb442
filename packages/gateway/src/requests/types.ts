/**
 * A routed request on its way, and what it ends in.
 */
import type { RequestError, Route } from '@baobabline/core';

import type { RequestAccount } from '../caller-keys/index.js';
import type { UpstreamAnswer } from '../upstreams/index.js';

/** A whole request of a caller, its route found and its limits kept. */
export type RoutedRequest = {
  readonly id: string;
  /** The same for requests that differ in nothing but their id. */
  readonly fingerprint: string;
  readonly route: Route;
  readonly service: string;
  /** Whose request it is; undefined if it needs no key. */
  readonly caller: RequestAccount | undefined;
  /** That of the client account or, if it has none, of the route; 0 is the most urgent. */
  readonly priority: number;
  readonly method: string;
  /** Request target as the caller sent it. */
  readonly target: string;
  /** Headers that travel on, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: readonly Buffer[];
  readonly bodyBytes: number;
  readonly arrivedAt: number;
  /** When the caller stops waiting. */
  readonly callerEndAt: number;
  /** When the request is given up: the route's timeout or the caller's end, whichever is first. */
  readonly endAt: number;
};

export type RequestEnd =
  | { readonly kind: 'answered'; readonly answer: UpstreamAnswer; readonly upstreamId: string }
  | { readonly kind: 'refused'; readonly error: RequestError };

/** A request that is being served. */
export interface ServedRequest {
  /** Whether an upstream has it, or may have it. */
  readonly isAtUpstream: boolean;
  /** Gives it up, as its caller is gone. */
  cancel(): void;
  /** Ends it without an upstream's answer, as the daemon stops. */
  failAsStopping(): void;
}

/** A request for which an upstream is chosen. */
export interface PlacedRequest extends ServedRequest {
  /** Whether any of it was sent to an upstream, or may have been. */
  readonly hasBeenSent: boolean;
}

/** One line of a request's story, for the log. */
export type RequestStep = Readonly<Record<string, unknown>> & { readonly step: string };
