/**
 * Bounds the large bodies of requests that one upstream holds, over the fleet.
 *
 * Load pattern: requests with bodies of megabytes reach one upstream from several daemons at once; it
 * crashes when they exceed its memory. Daemons report how many requests they have in flight at an
 * upstream, not their sizes, so that each request of another daemon is taken for one of `LARGE_BODY_BYTES`.
 *
 * Where all reports have arrived, an upstream with S slots holds one body of any size and S (S - 1) / 2
 * times `LARGE_BODY_BYTES` beside it; bodies up to that size need no more room than their slot. Each
 * daemon that sends before it has heard of another's request may add one body.
 */

/** Share of an upstream's memory that comes with each of its slots. */
export const LARGE_BODY_BYTES = 1024 * 1024;

export type BodyHolding = {
  readonly slots: number;
  /** Bytes of bodies larger than `LARGE_BODY_BYTES` that this daemon has in flight there. */
  readonly ownLargeBytes: number;
  /** Requests of other daemons in flight there, as they have reported. */
  readonly peersInFlight: number;
};

export function isLargeBody(bytes: number): boolean {
  return bytes > LARGE_BODY_BYTES;
}

/** Whether the body of a request may be sent to an upstream beside what it holds. */
export function mayHoldBody(
  bodyBytes: number,
  { slots, ownLargeBytes, peersInFlight }: BodyHolding,
): boolean {
  if (!isLargeBody(bodyBytes)) return true;
  if (ownLargeBytes === 0 && peersInFlight === 0) return true;
  return ownLargeBytes + bodyBytes <= (slots - peersInFlight) * LARGE_BODY_BYTES;
}
