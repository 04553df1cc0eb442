/**
 * What a request needs to know of requests that end the upstreams which run them.
 */
import type { UpstreamState } from './upstream-state.js';

/** A request whose connection was lost before it was answered. */
export type LostRequest = {
  readonly state: UpstreamState;
  readonly fingerprint: string;
  /** Requests of other daemons in flight at the upstream, as far as known. */
  readonly othersInFlight: number;
};

export interface CrashGuard {
  /** Records a lost request; calls `onDone` once it is clear whether its upstream has ended. */
  recordLoss(lost: LostRequest, onDone: () => void): void;
}
