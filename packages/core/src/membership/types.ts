/**
 * Types and settings of the fleet's membership.
 */

import * as z from 'zod';

import {
  counterField,
  ipAddressField,
  labelField,
  listenPortField,
  nameField,
  rateField,
} from '../untrusted/index.js';

export const MEMBER_STATES = ['joining', 'serving', 'leaving', 'suspect', 'left', 'dead'] as const;

/** A member as daemons tell each other of it. */
export const memberSchema = z.object({
  id: nameField,
  address: ipAddressField,
  peerPort: listenPortField,
  callerPort: listenPortField,
  dataCentre: labelField,
  /** Wall-clock start of the process in milliseconds; a restarted daemon has a higher one. */
  incarnation: counterField,
  /** Incremented by the member itself when it changes or refutes a false suspicion. */
  version: counterField,
  state: z.enum(MEMBER_STATES),
  /** Requests per second that its VM can handle. */
  capacity: rateField.positive(),
  /** Requests per second that it handles, in coarse steps because each change is broadcast. */
  load: rateField,
});

export type MemberState = (typeof MEMBER_STATES)[number];
export type Member = Readonly<z.infer<typeof memberSchema>>;

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
