/**
 * Interfaces for time, randomness and hashing. The core gets them passed in and reads neither a
 * clock nor a global random generator, so tests can replay every decision.
 */

/** Monotonic time in milliseconds; the origin is arbitrary and differs between processes. */
export type Clock = {
  readonly now: () => number;
};

/** Returns uniformly distributed numbers in [0, 1). */
export type RandomSource = {
  readonly next: () => number;
};

/** Hashes a text to an unsigned 32-bit number, which is the same on every daemon. */
export type HashText = (text: string) => number;
