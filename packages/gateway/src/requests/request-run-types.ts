/**
 * What the run of a request depends on, and its attempts.
 */
import type { Clock, FarReason, RandomSource, RequestError } from '@baobabline/core';

import type { HttpDialect } from '../dialect/index.js';
import type { UpstreamConnection } from '../upstreams/index.js';
import type { AttemptTimes } from './attempt-times.js';
import type { CrashGuard } from './crash-guard.js';
import type { DownloadControl } from './download-control.js';
import type { RequestStep, RoutedRequest } from './types.js';
import type { UpstreamState } from './upstream-state.js';

export type RequestRunDependencies = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly dialect: HttpDialect;
  readonly times: AttemptTimes;
  /** Called when the number of requests in flight has changed. */
  readonly onLoadChange: () => void;
  readonly onStep: (request: RoutedRequest, step: RequestStep) => void;
  readonly crashGuard: CrashGuard;
  /** Undefined where the configuration has no downloads. */
  readonly downloads?: DownloadControl | undefined;
  /** Returns why a request may no longer be sent; its key may have been removed while it waited. */
  readonly checkCaller: (request: RoutedRequest) => RequestError | undefined;
  /** Called with the size of a request or an answer in bytes, and the upstream's data centre. */
  readonly onBytes: (kind: 'requests' | 'answers', dataCentre: string, bytes: number) => void;
};

/** An attempt of a request at an upstream. */
export type Attempt = {
  readonly upstreamId: string;
  readonly state: UpstreamState;
  readonly startedAt: number;
  readonly isHedge: boolean;
  /** Why it left its data centre, where that is decided for each request. */
  readonly farReason: FarReason | undefined;
  /** Ends what is reserved for the answer. */
  readonly endReservation: (() => void) | undefined;
  connection: UpstreamConnection | undefined;
  overdueTimer: NodeJS.Timeout | undefined;
};
