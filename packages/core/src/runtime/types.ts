/**
 * What the decisions need from outside: time, randomness and hashing. The core reads neither a
 * clock nor a global random generator, so every decision can be replayed in a test.
 */

/** Monotonic time in milliseconds; the origin is arbitrary and differs between processes. */
export type Clock = {
  readonly now: () => number;
};

/** Uniform numbers in [0, 1). */
export type RandomSource = {
  readonly next: () => number;
};

/** Hash of a text as an unsigned 32-bit number. The same on every daemon. */
export type HashText = (text: string) => number;
