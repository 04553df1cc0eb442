/**
 * Estimates how many requests per second a VM can handle as a dispatcher, from its CPU and its
 * network link.
 */

/** The CPU and network resources of a VM that a daemon may use. */
export type VmResources = {
  /** CPU cores that one process can use; may be a fraction. */
  readonly cores: number;
  readonly linkMegabitsPerSecond: number;
};

/** On the users' platform a VM with 1.35 cores was saturated at 350 requests per second. */
const CPU_MS_PER_REQUEST = 4;
/**
 * Average bytes per request, with its answer, in each direction of the link; includes uploads. Daemons
 * rank each other by a capacity that assumes it.
 */
export const LINK_BYTES_PER_REQUEST = 10_000;
/** Advertised by a daemon that reaches hardly any upstream; below the capacity of any VM. */
export const CUT_OFF_CAPACITY = 0.5;
/**
 * Advertised by a daemon that has lost its key lease alone. Another value, since a neighbour with the
 * one above makes daemons check their own links to the upstreams.
 */
export const LEASE_LOST_CAPACITY = CUT_OFF_CAPACITY / 2;
const MS_PER_SECOND = 1000;
const BYTES_PER_MEGABIT = 125_000;

/** Returns the requests per second at which the CPU or the link is saturated. */
function computeSaturation(
  { cores, linkMegabitsPerSecond }: VmResources,
  bytesPerRequest: number,
): number {
  const cpuLimit = (cores * MS_PER_SECOND) / CPU_MS_PER_REQUEST;
  const linkLimit = (linkMegabitsPerSecond * BYTES_PER_MEGABIT) / bytesPerRequest;
  return Math.min(cpuLimit, linkLimit);
}

/**
 * Returns the requests per second at which the CPU or the link is saturated, whichever comes first.
 * The result is a whole number because daemons rank each other by it: the value that a daemon uses
 * for itself must equal the value that the others receive.
 */
export function computeCapacity(resources: VmResources): number {
  return Math.max(1, Math.round(computeSaturation(resources, LINK_BYTES_PER_REQUEST)));
}

/**
 * Returns how many usual requests one counts for in the advertised load, where requests move more bytes
 * than the capacity assumes; at least 1. The capacity itself stays: a daemon without traffic cannot
 * learn the bytes, so that it would rank above those that have learned them and take their place.
 */
export function computeRequestWeight(resources: VmResources, bytesPerRequest: number): number {
  const assumed = computeSaturation(resources, LINK_BYTES_PER_REQUEST);
  return Math.max(1, assumed / computeSaturation(resources, Math.max(1, bytesPerRequest)));
}
