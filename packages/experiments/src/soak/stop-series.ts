/**
 * Draws planned stops: one alone, several daemons in turn so that their stops overlap, some at once,
 * or a whole data centre; each with what may go with a stop, and some while the store is away.
 */
import { chooseOne, chooseSome } from '@baobabline/core';
import type { RandomSource } from '@baobabline/core';

import type { Disturbance, PlannedSignal } from './types.js';

export type StoppedFleet = {
  readonly processes: number;
  /** Time from the signal until a daemon would be killed. */
  readonly graceMs: number;
};

type Variant = (random: RandomSource, graceMs: number) => readonly PlannedSignal[];

const DATA_CENTRES = 2;
const INTERRUPT_PART = 0.2;
const STORE_TROUBLE_PART = 0.4;
const MAX_IN_TURN = 8;
const MAX_GAP_MS = 1200;
/** The trouble of the store that goes with a series begins up to so long before it. */
export const MAX_LEAD_MS = 1000;
const STORE_TROUBLES = ['store-down', 'store-busy', 'store-slow', 'store-silent'] as const;

function drawStopSignal(random: RandomSource): 'SIGTERM' | 'SIGINT' {
  return random.next() < INTERRUPT_PART ? 'SIGINT' : 'SIGTERM';
}

const drawPlain: Variant = (random) => [{ signal: drawStopSignal(random), afterMs: 0 }];

/** A further signal: soon, at some time of the grace, or about when idle daemons end. */
const drawAgain: Variant = (random, graceMs) => {
  const afterMs = chooseOne(random, [50, 500, 2950, 3050, graceMs - 1000]) ?? 50;
  return [
    ...drawPlain(random, graceMs),
    { signal: drawStopSignal(random), afterMs: afterMs + random.next() * 200 },
  ];
};

const drawReloads: Variant = (random, graceMs) => [
  { signal: 'SIGHUP', afterMs: 0 },
  ...drawPlain(random, graceMs).map((first) => ({ ...first, afterMs: random.next() * 20 })),
  ...Array.from({ length: 4 }, () => ({
    signal: 'SIGHUP' as const,
    afterMs: random.next() * random.next() * graceMs,
  })),
];

const drawEarlyKill: Variant = (random, graceMs) => [
  ...drawPlain(random, graceMs),
  { signal: 'SIGKILL', afterMs: 200 + random.next() * 2500 },
];

/** The daemon stands still shortly before, at, or some time after the signal. */
const drawStandstill: Variant = (random, graceMs) => {
  const forMs = 100 + random.next() * 300;
  const signalMs = random.next() * forMs;
  const isLater = random.next() < 0.4;
  return [
    { signal: 'SIGSTOP', afterMs: isLater ? random.next() * graceMs * 0.7 : 0, forMs },
    ...drawPlain(random, graceMs).map((first) => ({ ...first, afterMs: signalMs })),
  ];
};

/** The daemon is killed, and told to stop while it starts again. */
const drawAtStart: Variant = (random, graceMs) => [
  { signal: 'SIGKILL', afterMs: 0 },
  ...drawPlain(random, graceMs).map((first) => ({ ...first, afterMs: 50 + random.next() * 900 })),
];

const VARIANTS: readonly Variant[] = [
  drawPlain,
  drawPlain,
  drawPlain,
  drawAgain,
  drawAgain,
  drawReloads,
  drawStandstill,
  drawEarlyKill,
  drawAtStart,
];

/** The daemons that stop one after the other, and the longest time between two of them. */
function drawTargets(
  random: RandomSource,
  processes: number,
): { readonly targets: readonly number[]; readonly gapMs: number } {
  const all = Array.from({ length: processes }, (_, index) => index);
  const dataCentre = Math.floor(random.next() * DATA_CENTRES);
  const some = Math.min(MAX_IN_TURN, Math.max(1, Math.ceil(processes / 2)));
  return (
    chooseOne(random, [
      { targets: chooseSome(random, all, 1), gapMs: 0 },
      { targets: chooseSome(random, all, some), gapMs: MAX_GAP_MS },
      { targets: chooseSome(random, all, some), gapMs: MAX_GAP_MS },
      { targets: chooseSome(random, all, some), gapMs: 30 },
      {
        targets: all.filter((index) => index % DATA_CENTRES === dataCentre),
        gapMs: MAX_GAP_MS / 2,
      },
    ]) ?? { targets: [], gapMs: 0 }
  );
}

/** Draws a series of stops that begins at a moment, with the trouble of the store that goes with it. */
export function drawStops(
  random: RandomSource,
  fleet: StoppedFleet,
  startMs: number,
): readonly Disturbance[] {
  const { targets, gapMs } = drawTargets(random, fleet.processes);
  let at = startMs;
  const stops = targets.map((target): Disturbance => {
    const draw = chooseOne(random, VARIANTS) ?? drawPlain;
    const signals = draw(random, fleet.graceMs);
    const kind = draw === drawAtStart ? 'stop-at-start' : 'stop';
    const stop = { kind, startMs: at, endMs: at + fleet.graceMs, target, signals } as const;
    at += random.next() * gapMs;
    return stop;
  });
  const trouble: Disturbance = {
    kind: chooseOne(random, STORE_TROUBLES) ?? 'store-down',
    startMs: startMs - random.next() * MAX_LEAD_MS,
    endMs: at + random.next() * fleet.graceMs,
    target: 0,
  };
  return random.next() < STORE_TROUBLE_PART ? [trouble, ...stops] : stops;
}
