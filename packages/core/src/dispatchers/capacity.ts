/**
 * What a VM can carry as a dispatcher, from what is known of its processor and link.
 */

/** The part of a VM that a daemon may use. */
export type VmShape = {
  /** Cores, in fractions, that one process can use. */
  readonly cores: number;
  readonly linkMegabitsPerSecond: number;
};

/** Processor time of a request on the users' platform: a VM of 1.35 cores was full at 350 a second. */
const CORE_MS_PER_REQUEST = 4;
/** Bytes that a request and its answer put on the link in each direction, uploads included. */
const LINK_BYTES_PER_REQUEST = 10_000;
const MS_PER_SECOND = 1000;
const BYTES_PER_MEGABIT = 125_000;

/**
 * Requests a second at which the processor or the link is full, as a whole number: daemons rank each
 * other by it, so that it has to be the same for itself and for all that it is told to.
 */
export function computeCapacity({ cores, linkMegabitsPerSecond }: VmShape): number {
  const byProcessor = (cores * MS_PER_SECOND) / CORE_MS_PER_REQUEST;
  const byLink = (linkMegabitsPerSecond * BYTES_PER_MEGABIT) / LINK_BYTES_PER_REQUEST;
  return Math.max(1, Math.round(Math.min(byProcessor, byLink)));
}
