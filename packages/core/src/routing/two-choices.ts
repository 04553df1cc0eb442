/**
 * Power of two choices: draws two slots at random and takes the one whose upstream last reported
 * the lower load.
 */
import { chooseOne } from '../runtime/index.js';
import type { RandomSource } from '../runtime/index.js';
import type { LoadView, SlotChooser } from './slot-chooser.js';
import type { Slot } from './types.js';

export class TwoChoices implements SlotChooser {
  choose(slots: readonly Slot[], loads: LoadView, random: RandomSource): Slot {
    const first = chooseOne(random, slots) as Slot;
    const second = chooseOne(random, slots) as Slot;
    const isLighter =
      loads.getReportedLoad(second.upstreamId) < loads.getReportedLoad(first.upstreamId);
    return isLighter ? second : first;
  }
}
