/**
 * Chooses a free slot uniformly at random.
 */
import { chooseOne } from '../runtime/index.js';
import type { RandomSource } from '../runtime/index.js';
import type { LoadView, SlotChooser } from './slot-chooser.js';
import type { Slot } from './types.js';

export class RandomSlot implements SlotChooser {
  choose(slots: readonly Slot[], _loads: LoadView, random: RandomSource): Slot {
    return chooseOne(random, slots) as Slot;
  }
}
