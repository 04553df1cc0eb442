/**
 * The ways of routing by name, as the settings have them. With `owned-slots` every slot has one
 * owning daemon; with the others, which are there to be measured against, every daemon sends to
 * every upstream and counts for itself.
 */
import { LeastInFlight } from './least-in-flight.js';
import { RandomSlot } from './random-slot.js';
import type { SlotChooser } from './slot-chooser.js';
import { TwoChoices } from './two-choices.js';

export const ROUTING_POLICIES = [
  'owned-slots',
  'random',
  'least-in-flight',
  'two-choices',
] as const;

export type RoutingPolicyName = (typeof ROUTING_POLICIES)[number];

/** Creates what chooses among free slots under a policy. */
export function createSlotChooser(policy: RoutingPolicyName): SlotChooser {
  if (policy === 'least-in-flight') return new LeastInFlight();
  return policy === 'two-choices' ? new TwoChoices() : new RandomSlot();
}
