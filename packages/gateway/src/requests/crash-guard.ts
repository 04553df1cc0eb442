/**
 * What a request needs to know of requests that end the upstreams which run them.
 */
import type { QuarantineVerdict } from '@baobabline/core';

import type { UpstreamState } from './upstream-state.js';

/** A request whose connection was lost before it was answered. */
export type LostRequest = {
  readonly state: UpstreamState;
  readonly fingerprint: string;
  /** Requests of other daemons in flight at the upstream, as far as known. */
  readonly othersInFlight: number;
};

export interface CrashGuard {
  /** Decides whether a request may be sent to an upstream now. */
  judge(fingerprint: string): QuarantineVerdict;
  /** Whether an upstream has ended with the request since its last success. */
  isSuspect(fingerprint: string): boolean;
  /** Records that a quarantined request is sent to find out whether it still ends upstreams. */
  recordTrial(fingerprint: string): void;
  recordSuccess(fingerprint: string): void;
  /** Records a lost request; calls `onDone` once it is clear whether its upstream has ended. */
  recordLoss(lost: LostRequest, onDone: () => void): void;
}
