/**
 * A count of events that fades with time, so that it measures how many there were lately. Counts
 * that fade with the same time constant can be compared and added up across daemons.
 */

export type DecayingCount = {
  readonly value: number;
  /** In milliseconds of the daemon's clock, when `value` held. */
  readonly at: number;
};

export const NO_EVENTS: DecayingCount = { value: 0, at: Number.NEGATIVE_INFINITY };

/** Returns the value at a time that is not before `at`. */
export function computeDecayed(count: DecayingCount, now: number, timeConstantMs: number): number {
  if (count.value === 0) return 0;
  return count.value * Math.exp((count.at - now) / timeConstantMs);
}

/** Adds events; negative ones take back earlier ones, down to zero. */
export function addEvents(
  count: DecayingCount,
  events: number,
  now: number,
  timeConstantMs: number,
): DecayingCount {
  const value = Math.max(0, computeDecayed(count, now, timeConstantMs) + events);
  return { value, at: now };
}
