/**
 * The value of an answer to its caller by its latency: 1 if it is surely in time, 0 if the caller is
 * refused. Latencies are forecasts, so that the value falls before the target latency is reached.
 */
import type { FarRequest } from './types.js';

/** Up to this share of the time to the target, a forecast counts as surely in time. */
const SURE_SHARE = 0.4;
const VALUE_AT_TARGET = 0.4;
const VALUE_JUST_LATE = 0.35;
const VALUE_AT_DEADLINE = 0.15;

function computeBetween(
  value: number,
  [from, valueAtFrom]: readonly [number, number],
  [to, valueAtTo]: readonly [number, number],
): number {
  if (to <= from) return valueAtTo;
  return valueAtFrom + ((value - from) / (to - from)) * (valueAtTo - valueAtFrom);
}

/** Computes the expected value, from 0 to 1, of an answer that is forecast after `latencyMs`. */
export function computeAnswerValue(
  latencyMs: number,
  { targetLeftMs, timeLeftMs }: Pick<FarRequest, 'targetLeftMs' | 'timeLeftMs'>,
): number {
  if (latencyMs > timeLeftMs) return 0;
  const sureMs = targetLeftMs * SURE_SHARE;
  if (latencyMs <= sureMs) return 1;
  if (latencyMs <= targetLeftMs) {
    return computeBetween(latencyMs, [sureMs, 1], [targetLeftMs, VALUE_AT_TARGET]);
  }
  const lateFromMs = Math.max(0, targetLeftMs);
  return computeBetween(latencyMs, [lateFromMs, VALUE_JUST_LATE], [timeLeftMs, VALUE_AT_DEADLINE]);
}
