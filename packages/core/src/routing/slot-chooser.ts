/**
 * The interface of the ways to choose among free slots of equal standing.
 */
import type { RandomSource } from '../runtime/index.js';
import type { Slot } from './types.js';

/** What is known of upstreams besides their standing. */
export type LoadView = {
  /** Requests that this daemon has at the upstream. */
  readonly countBusy: (upstreamId: string) => number;
  /** Load that the upstream last reported with an answer; 0 if it has not. */
  readonly getReportedLoad: (upstreamId: string) => number;
};

export interface SlotChooser {
  /** Chooses one of at least one slot. */
  choose(slots: readonly Slot[], loads: LoadView, random: RandomSource): Slot;
}
