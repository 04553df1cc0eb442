import { expect } from 'chai';

import { chooseOne, createRandom } from '../runtime/index.js';
import { ShedPauses, SlidingWindowRetryBudget } from './index.js';

const STEP_MS = 5;
const WINDOW_MS = 10_000;
const RATIO = 0.2;
const SLACK = 333;
const SLOTS = 6;
const SERVICE_MS = 400;
const SHED_MS = 5;
const SHED_SHARE = 0.55;
const SHEDDING = { from: 12_000, to: 20_500 };
const END_MS = 24_000;
const TARGET_MS = 2000;
const LIMIT_MS = 5000;
const MAX_ATTEMPTS = 2;
const PAUSE_MS = 150;

type Replay = {
  readonly slackShare: number;
  /** Whether requests compete by urgency, and pauses take account of free slots. */
  readonly isPresent: boolean;
  readonly daemons: number;
  readonly upstreams: number;
  readonly perSecond: number;
};

/** An equal part of the slack for each of 202 daemons, of which 12 receive requests. */
const FORMER: Replay = {
  slackShare: 1 / 202,
  isPresent: false,
  daemons: 12,
  upstreams: 85,
  perSecond: 300,
};
const PRESENT: Replay = { ...FORMER, slackShare: 0.8 / FORMER.daemons, isPresent: true };

type Daemon = {
  readonly budget: SlidingWindowRetryBudget;
  readonly pauses: ShedPauses;
  readonly pausedUntil: Map<string, number>;
};

type Request = {
  readonly id: string;
  readonly arrivedAt: number;
  readonly priority: number;
  readonly daemon: Daemon;
  readonly tried: Set<string>;
};

type Ended = Request & { readonly endedAt: number; readonly isServed: boolean };

type Result = {
  readonly requests: number;
  readonly inTime: number;
  readonly inTimeByPriority: readonly number[];
  readonly refusedLate: number;
  readonly maxAttempts: number;
  /** Retries above the bound in the worst window; negative if none is above it. */
  readonly excess: number;
  /** How often a request found no upstream although one had a free slot. */
  readonly blocked: number;
};

function createDaemon(slackShare: number, clock: { readonly now: () => number }): Daemon {
  const budget = new SlidingWindowRetryBudget(
    { windowMs: WINDOW_MS, ratio: RATIO, fleetSlack: SLACK, getSlackShare: () => slackShare },
    clock,
  );
  return { budget, pauses: new ShedPauses(), pausedUntil: new Map() };
}

/** Replays requests of two kinds while all upstreams shed, also those with free slots. */
function simulateShedding(replay: Replay): Result {
  const { slackShare, isPresent, perSecond } = replay;
  const random = createRandom(23);
  let now = 0;
  const clock = { now: () => now };
  const names = Array.from({ length: replay.upstreams }, (_, index) => `u${index}`);
  const inFlight = new Map(names.map((name) => [name, 0]));
  const events = new Map<number, (() => void)[]>();
  const arrivals: { readonly at: number; readonly isFirst: boolean }[] = [];
  const ends: Ended[] = [];
  const requests: Request[] = [];
  let blocked = 0;
  const daemons = Array.from({ length: replay.daemons }, () => createDaemon(slackShare, clock));
  const schedule = (afterMs: number, run: () => void): void => {
    const at = now + Math.ceil(afterMs / STEP_MS) * STEP_MS;
    events.set(at, [...(events.get(at) ?? []), run]);
  };
  const end = (request: Request, isServed: boolean): void => {
    ends.push({ ...request, endedAt: now, isServed });
  };
  const isPaused = ({ pauses, pausedUntil }: Daemon, id: string): boolean =>
    isPresent ? pauses.isPaused(id, now) : now < (pausedUntil.get(id) ?? 0);
  const retryOrRefuse = (request: Request, retry: () => void): void => {
    const { daemon, tried, priority } = request;
    const claim = isPresent ? { priority, shedCount: tried.size } : undefined;
    if (tried.size < MAX_ATTEMPTS && daemon.budget.takeRetry(claim)) retry();
    else end(request, false);
  };
  const place = (request: Request): void => {
    const { daemon, tried, arrivedAt } = request;
    const withRoom = names.filter((name) => !tried.has(name) && (inFlight.get(name) ?? 0) < SLOTS);
    const id = chooseOne(
      random,
      withRoom.filter((name) => !isPaused(daemon, name)),
    );
    if (id === undefined) {
      blocked += Number(withRoom.length > 0);
      if (now > arrivedAt + LIMIT_MS) end(request, false);
      else schedule(STEP_MS, () => place(request));
      return;
    }
    const used = (inFlight.get(id) ?? 0) + 1;
    inFlight.set(id, used);
    arrivals.push({ at: now, isFirst: tried.size === 0 });
    tried.add(id);
    const isShed = now >= SHEDDING.from && now < SHEDDING.to && random.next() < SHED_SHARE;
    schedule(isShed ? SHED_MS : SERVICE_MS, () => {
      inFlight.set(id, (inFlight.get(id) ?? 0) - 1);
      if (!isShed) {
        daemon.pauses.recordServed(id, now);
        end(request, true);
        return;
      }
      daemon.pauses.recordShed({ upstreamId: id, at: now, inFlight: used, slots: SLOTS });
      daemon.pausedUntil.set(id, now + PAUSE_MS);
      retryOrRefuse(request, () => place(request));
    });
  };
  Array.from({ length: END_MS / STEP_MS }, (_, index) => index * STEP_MS).forEach((at) => {
    now = at;
    (events.get(at) ?? []).forEach((run) => run());
    if (random.next() >= (perSecond * STEP_MS) / 1000 / 2) return;
    [0, 1].forEach((priority) => {
      const daemon = daemons[Math.floor(random.next() * daemons.length)];
      if (!daemon) return;
      const id = `${at}-${priority}`;
      const request = { id, arrivedAt: at, priority, daemon, tried: new Set<string>() };
      daemon.budget.recordRequest(priority);
      requests.push(request);
      place(request);
    });
  });
  const isCounted = ({ arrivedAt }: Request): boolean =>
    arrivedAt >= SHEDDING.from && arrivedAt < SHEDDING.to;
  const counted = ends.filter(isCounted);
  const isInTime = ({ arrivedAt, endedAt, isServed }: Ended): boolean =>
    isServed && endedAt - arrivedAt <= TARGET_MS;
  const excesses = Array.from({ length: END_MS / 100 }, (_, index) => index * 100).map((last) => {
    const inWindow = arrivals.filter((row) => row.at > last - WINDOW_MS && row.at <= last);
    const first = inWindow.filter(({ isFirst }) => isFirst).length;
    return inWindow.length - first - (first * RATIO + SLACK);
  });
  return {
    requests: requests.filter(isCounted).length,
    inTime: counted.filter(isInTime).length,
    inTimeByPriority: [0, 1].map(
      (kind) => counted.filter((row) => row.priority === kind && isInTime(row)).length,
    ),
    refusedLate: counted.filter((row) => !row.isServed && row.endedAt - row.arrivedAt > TARGET_MS)
      .length,
    maxAttempts: Math.max(...requests.map(({ tried }) => tried.size)),
    excess: Math.max(...excesses),
    blocked,
  };
}

describe('retries while all upstreams shed at random', () => {
  it('serves more requests in time within the bound, urgent ones first, none sent too often', () => {
    const former = simulateShedding(FORMER);
    const present = simulateShedding(PRESENT);
    expect(present.inTime / present.requests).to.be.greaterThan(
      (former.inTime / former.requests) * 1.07,
    );
    expect(present.excess).to.be.within(-0.15 * SLACK - 100, 0);
    expect(present.maxAttempts).to.equal(MAX_ATTEMPTS);
    expect(present.refusedLate).to.equal(0);
    const [urgent = 0, other = 0] = present.inTimeByPriority;
    expect(urgent).to.be.greaterThan(other * 1.15);
  });

  it('does not pause upstreams with free slots while most of them shed', () => {
    const few = { daemons: 2, upstreams: 10, perSecond: 70 };
    const former = simulateShedding({ ...FORMER, ...few });
    const present = simulateShedding({ ...PRESENT, ...few });
    expect(present.blocked).to.be.lessThan(former.blocked / 10);
  });
});
