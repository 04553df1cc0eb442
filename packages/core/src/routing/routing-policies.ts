/**
 * The routing policies that the settings can name. With `owned-slots` every slot belongs to one
 * daemon. The other policies are baselines for comparison: every daemon sends to every upstream
 * and counts only its own requests.
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

/** Creates the slot chooser of a policy. */
export function createSlotChooser(policy: RoutingPolicyName): SlotChooser {
  if (policy === 'least-in-flight') return new LeastInFlight();
  return policy === 'two-choices' ? new TwoChoices() : new RandomSlot();
}
