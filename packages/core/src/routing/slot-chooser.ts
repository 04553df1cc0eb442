/**
 * The interface for choosing among free slots whose upstreams are of equal health rank.
 */
import type { RandomSource } from '../runtime/index.js';
import type { Slot } from './types.js';

/** Load of the upstreams, as far as this daemon knows it. */
export type LoadView = {
  /** Requests that this daemon has in flight at the upstream. */
  readonly countInFlight: (upstreamId: string) => number;
  /** Load that the upstream last reported with an answer; 0 if it has reported none. */
  readonly getReportedLoad: (upstreamId: string) => number;
};

export interface SlotChooser {
  /** Chooses one of `slots`, which must not be empty. */
  choose(slots: readonly Slot[], loads: LoadView, random: RandomSource): Slot;
}
