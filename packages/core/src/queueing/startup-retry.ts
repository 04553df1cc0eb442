/**
 * The Retry-After of a daemon that has no configuration yet.
 *
 * Load pattern: all VMs lose power together, and all callers reconnect as soon as the first daemons
 * listen again. A daemon then has a configuration a few hundred milliseconds after its start; callers
 * that are sent away for a second come back after the target latency of their requests. The longer it
 * takes, the less is known about when it ends, so the time grows with what has passed.
 */
import type { RandomSource } from '../runtime/index.js';

/** Usual time from the start of a daemon until it has joined the fleet and read a configuration. */
const USUAL_STARTUP_MS = 400;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 1000;
/** Callers that were refused together come back within this share of the time, one after the other. */
const SPREAD = 0.5;

/** Draws the time until callers should try again, in milliseconds; `runningMs` is since the start. */
export function drawStartupRetryMs(runningMs: number, random: RandomSource): number {
  const expectedMs = Math.max(USUAL_STARTUP_MS - runningMs, runningMs / 2);
  const boundedMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, expectedMs));
  return boundedMs * (1 + random.next() * SPREAD);
}
