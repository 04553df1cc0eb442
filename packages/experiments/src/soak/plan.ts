/**
 * Draws what a soak brings about: disturbances of all kinds, in series and overlapping.
 */
import { chooseOne } from '@baobabline/core';
import type { RandomSource } from '@baobabline/core';

import { drawStops, MAX_LEAD_MS } from './stop-series.js';
import type { StoppedFleet } from './stop-series.js';
import type { Disturbance } from './types.js';

type SingleKind = Exclude<Disturbance['kind'], 'stop' | 'stop-at-start'>;

/** How often each kind comes, relative to the others, beside the series of stops. */
const WEIGHTS: Readonly<Record<SingleKind, number>> = {
  kill: 2,
  pause: 2,
  'store-down': 1,
  'store-busy': 1,
  'store-slow': 1,
  'store-silent': 1,
  'history-lost': 1,
  'store-restored': 2,
  'instance-errors': 2,
  'instance-shed': 2,
  'instance-reset': 2,
  'instance-hang': 1,
  'instance-cut': 2,
  'instance-extra': 3,
  'link-delay': 1,
  'link-one-way': 1,
  'link-reset': 2,
  'link-silent': 1,
  replace: 3,
  configuration: 4,
};

const MIN_GAP_MS = 150;
const GAP_SPREAD_MS = 900;
const MIN_LENGTH_MS = 200;
const LENGTH_SPREAD_MS = 2500;
/** Quiet time at both ends, so that the fleet stands before and recovers after. */
const EDGE_MS = 2500;
const TARGETS = 1000;
/** There is a series of stops for each such span of a soak. */
const SERIES_INTERVAL_MS = 4000;

const BAG = Object.entries(WEIGHTS).flatMap(([kind, weight]) =>
  Array.from({ length: weight }, () => kind as SingleKind),
);

function drawSingles(random: RandomSource, lengthMs: number): readonly Disturbance[] {
  const count = Math.ceil(lengthMs / MIN_GAP_MS);
  const gaps = Array.from({ length: count }, () => MIN_GAP_MS + random.next() * GAP_SPREAD_MS);
  let at = EDGE_MS;
  return gaps.map((gap): Disturbance => {
    at += gap;
    return {
      kind: chooseOne(random, BAG) ?? 'configuration',
      startMs: at,
      endMs: at + MIN_LENGTH_MS + random.next() * LENGTH_SPREAD_MS,
      target: Math.floor(random.next() * TARGETS),
    };
  });
}

/** Draws the disturbances of a soak of so many milliseconds. */
export function drawDisturbances(
  random: RandomSource,
  lengthMs: number,
  fleet: StoppedFleet,
): readonly Disturbance[] {
  const firstMs = EDGE_MS + MAX_LEAD_MS;
  const lastMs = lengthMs - EDGE_MS - fleet.graceMs;
  const series = Array.from({ length: Math.ceil(lengthMs / SERIES_INTERVAL_MS) }, () =>
    drawStops(random, fleet, firstMs + random.next() * Math.max(0, lastMs - firstMs)),
  );
  return [...series.flat(), ...drawSingles(random, lengthMs)].filter(
    ({ endMs }) => endMs < lengthMs - EDGE_MS,
  );
}
