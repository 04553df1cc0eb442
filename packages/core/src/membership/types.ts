/**
 * Types and settings of the fleet's membership.
 */

export type MemberState = 'joining' | 'serving' | 'leaving' | 'suspect' | 'left' | 'dead';

export type Member = {
  readonly id: string;
  readonly address: string;
  readonly peerPort: number;
  readonly callerPort: number;
  readonly dataCentre: string;
  /** Wall-clock start of the process in milliseconds; a restarted daemon has a higher one. */
  readonly incarnation: number;
  /** Incremented by the member itself when it changes or refutes a false suspicion. */
  readonly version: number;
  readonly state: MemberState;
  /** Requests per second that its VM can handle. */
  readonly capacity: number;
  /** Requests per second that it handles, in coarse steps because each change is broadcast. */
  readonly load: number;
};

export type MembershipSettings = {
  /** How long a suspect member has to refute the suspicion before it is declared dead. */
  readonly suspicionMs: number;
  /** How long a dead or left member is remembered, so that outdated updates cannot revive it. */
  readonly tombstoneMs: number;
  /** Maximum number of members in one message. */
  readonly maxUpdatesPerMessage: number;
};

export const DEFAULT_MEMBERSHIP_SETTINGS: MembershipSettings = {
  suspicionMs: 1200,
  tombstoneMs: 60_000,
  maxUpdatesPerMessage: 12,
};
