/**
 * The upstream at which this daemon has the fewest requests, ties broken by chance.
 */
import { chooseOne } from '../runtime/index.js';
import type { RandomSource } from '../runtime/index.js';
import type { LoadView, SlotChooser } from './slot-chooser.js';
import type { Slot } from './types.js';

export class LeastInFlight implements SlotChooser {
  choose(slots: readonly Slot[], loads: LoadView, random: RandomSource): Slot {
    const least = Math.min(...slots.map(({ upstreamId }) => loads.countBusy(upstreamId)));
    const best = slots.filter(({ upstreamId }) => loads.countBusy(upstreamId) === least);
    return chooseOne(random, best) as Slot;
  }
}
