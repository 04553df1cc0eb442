/**
 * Chooses a slot of the upstream at which this daemon has the fewest requests in flight. Ties are
 * broken at random.
 */
import { chooseOne } from '../runtime/index.js';
import type { RandomSource } from '../runtime/index.js';
import type { LoadView, SlotChooser } from './slot-chooser.js';
import type { Slot } from './types.js';

export class LeastInFlight implements SlotChooser {
  choose(slots: readonly Slot[], loads: LoadView, random: RandomSource): Slot {
    const least = Math.min(...slots.map(({ upstreamId }) => loads.countInFlight(upstreamId)));
    const best = slots.filter(({ upstreamId }) => loads.countInFlight(upstreamId) === least);
    return chooseOne(random, best) as Slot;
  }
}
