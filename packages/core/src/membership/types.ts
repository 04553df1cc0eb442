/**
 * Members of the fleet and the messages by which daemons learn of each other.
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
  /** Raised by the member itself whenever it changes or refutes what is said of it. */
  readonly version: number;
  readonly state: MemberState;
  /** Requests a second that its VM can carry. */
  readonly capacity: number;
  /** Requests a second that it carries, in coarse steps: each change is told to the fleet. */
  readonly load: number;
};

export type MembershipSettings = {
  /** How long a suspect may refute before it is held to be dead. */
  readonly suspicionMs: number;
  /** How long a dead or left member is remembered, so that old news cannot revive it. */
  readonly tombstoneMs: number;
  /** Most member rows in one message. */
  readonly maxUpdatesPerMessage: number;
};

export const DEFAULT_MEMBERSHIP_SETTINGS: MembershipSettings = {
  suspicionMs: 1200,
  tombstoneMs: 60_000,
  maxUpdatesPerMessage: 12,
};
