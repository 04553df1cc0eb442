import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import {
  ArrivalRate,
  computeMaxFailureProbability,
  drawRetryAfterMs,
  isServable,
  RequestQueue,
} from './index.js';
import type { QueuedRequest, QueueState } from './index.js';

function buildRequest(id: string, changes: Partial<QueuedRequest> = {}): QueuedRequest {
  return {
    id,
    priority: 1,
    arrivedAt: 0,
    targetAt: 600,
    latestSendAt: 2000,
    expectedAttemptMs: 100,
    isRetry: false,
    ...changes,
  };
}

type SpikeResult = {
  readonly served: number;
  readonly inTime: number;
  readonly minServedShare: number;
};

/** Simulates a spike of requests of 2 priorities at 10 slots, served by rank or by arrival. */
function simulateSpike(isRanked: boolean): SpikeResult {
  const random = createRandom(11);
  const queue = new RequestQueue<QueuedRequest>();
  const ends: number[] = [];
  const outcomes = new Map<string, number>();
  const kinds = new Map<string, number>();
  Array.from({ length: 400 }, (_, tick) => tick * 10).forEach((now) => {
    const arrivals = now < 2500 ? 2 : 0;
    Array.from({ length: arrivals }, (_, index) => index).forEach((index) => {
      const id = `${now}-${index}`;
      const priority = random.next() < 0.7 ? 1 : 2;
      kinds.set(id, priority);
      const times = { arrivedAt: now, targetAt: now + 600, latestSendAt: now + 2000 };
      queue.add(buildRequest(id, { priority, ...times }));
    });
    queue.takeExpired(now);
    const running = ends.filter((end) => end > now).length;
    const waiting = queue.list(now);
    const next = isRanked
      ? waiting
      : [...waiting].sort((left, right) => left.arrivedAt - right.arrivedAt);
    next.slice(0, 10 - running).forEach(({ id, arrivedAt }) => {
      queue.remove(id);
      ends.push(now + 100);
      outcomes.set(id, now + 100 - arrivedAt);
    });
  });
  const shares = [1, 2].map((kind) => {
    const ids = [...kinds].filter(([, priority]) => priority === kind).map(([id]) => id);
    return ids.filter((id) => outcomes.has(id)).length / ids.length;
  });
  return {
    served: outcomes.size,
    inTime: [...outcomes.values()].filter((elapsed) => elapsed <= 600).length,
    minServedShare: Math.min(...shares),
  };
}

type OverloadResult = {
  readonly served: number;
  readonly inTime: number;
  /** Mean time in the queue of the requests that were not served. */
  readonly meanUnservedWaitMs: number;
};

/**
 * Simulates eight seconds with a fifth more requests than 10 slots can run and attempts of varying
 * duration. Without admission control, the queue behaves as before: it is bounded by deadlines alone,
 * and late requests move to the front as their deadlines come near.
 */
function simulateOverload(hasAdmissionControl: boolean): OverloadResult {
  const random = createRandom(17);
  const queue = new RequestQueue<QueuedRequest>();
  let now = 0;
  const arrivals = new ArrivalRate({ now: () => now });
  let ends: readonly number[] = [];
  const elapsed: number[] = [];
  const unservedWaitsMs: number[] = [];
  const checkNow = ({ targetAt, latestSendAt }: QueuedRequest, waiting: number): boolean =>
    isServable(
      {
        waiting,
        slots: 10,
        meanAttemptMs: 200,
        arrivalsPerMs: hasAdmissionControl ? arrivals.getPerMs() : 0,
      },
      { targetLeftMs: targetAt - now, timeLeftMs: latestSendAt - now },
    );
  Array.from({ length: 800 }, (_, tick) => tick * 10).forEach((tick) => {
    now = tick;
    const count = random.next() < 0.6 ? 1 : 0;
    Array.from({ length: count }).forEach(() => {
      arrivals.recordArrival();
      const request = buildRequest(`${now}`, {
        arrivedAt: now,
        targetAt: now + 600,
        latestSendAt: now + 2400,
        expectedAttemptMs: 200,
      });
      if (checkNow(request, queue.countAhead(request, now))) queue.add(request);
      else unservedWaitsMs.push(0);
    });
    const isRecheckDue = hasAdmissionControl && now % 100 === 0;
    const hopeless = queue
      .list(now)
      .filter((request, ahead) => isRecheckDue && !checkNow(request, ahead));
    hopeless.forEach(({ id, arrivedAt }) => {
      queue.remove(id);
      unservedWaitsMs.push(now - arrivedAt);
    });
    const computeFormerRank = ({ targetAt, latestSendAt }: QueuedRequest): number =>
      now + 150 > targetAt ? latestSendAt : targetAt;
    queue.takeExpired(now).forEach(({ arrivedAt }) => unservedWaitsMs.push(now - arrivedAt));
    ends = ends.filter((end) => end > now);
    const waiting = queue.list(now);
    const next = hasAdmissionControl
      ? waiting
      : [...waiting].sort((left, right) => computeFormerRank(left) - computeFormerRank(right));
    next.slice(0, 10 - ends.length).forEach(({ id, arrivedAt }) => {
      queue.remove(id);
      const end = now + 100 + random.next() * 200;
      ends = [...ends, end];
      elapsed.push(end - arrivedAt);
    });
  });
  return {
    served: elapsed.length,
    inTime: elapsed.filter((time) => time <= 600).length,
    meanUnservedWaitMs:
      unservedWaitsMs.reduce((sum, time) => sum + time, 0) / Math.max(1, unservedWaitsMs.length),
  };
}

describe('RequestQueue', () => {
  it('serves requests that can be in time before late ones, by due time and priority', () => {
    const queue = new RequestQueue<QueuedRequest>();
    queue.add(buildRequest('late', { targetAt: 100, latestSendAt: 1500 }));
    queue.add(buildRequest('calm', { priority: 2, targetAt: 900 }));
    queue.add(buildRequest('urgent', { targetAt: 900 }));
    queue.add(buildRequest('soon', { targetAt: 700 }));
    expect(queue.list(200).map(({ id }) => id)).to.deep.equal(['soon', 'urgent', 'calm', 'late']);
  });

  it('serves a retry before all other requests', () => {
    const queue = new RequestQueue<QueuedRequest>();
    queue.add(buildRequest('soon', { targetAt: 500 }));
    queue.add(buildRequest('again', { isRetry: true, priority: 3, targetAt: 100 }));
    expect(queue.list(200).map(({ id }) => id)).to.deep.equal(['again', 'soon']);
    expect(queue.countAhead(buildRequest('new'), 200)).to.equal(2);
  });

  it('expires a request at its latest send time, not earlier', () => {
    const queue = new RequestQueue<QueuedRequest>();
    queue.add(buildRequest('a', { latestSendAt: 500 }));
    expect(queue.takeExpired(499)).to.deep.equal([]);
    expect(queue.takeExpired(500).map(({ id }) => id)).to.deep.equal(['a']);
    expect(queue.size).to.equal(0);
  });

  it('answers more of a spike in time than a queue by arrival, and starves no priority', () => {
    const ranked = simulateSpike(true);
    const byArrival = simulateSpike(false);
    expect(ranked.inTime).to.be.greaterThan(byArrival.inTime * 1.2);
    expect(ranked.minServedShare).to.be.greaterThan(0.25);
  });
});

describe('admission control', () => {
  const state = { waiting: 20, slots: 10, meanAttemptMs: 200, arrivalsPerMs: 0 };
  const check = (changes: Partial<QueueState>, targetLeftMs: number, timeLeftMs: number): boolean =>
    isServable({ ...state, ...changes }, { targetLeftMs, timeLeftMs });

  it('refuses a request at once if a slot would be free too late', () => {
    expect(check({}, 0, 2000)).to.equal(true);
    expect(check({}, 0, 500)).to.equal(false);
    expect(check({ slots: 0 }, 0, 5000)).to.equal(false);
  });

  it('refuses a late request while arrivals that can be in time need all slots', () => {
    const arrivalsPerMs = 0.045;
    expect(check({ arrivalsPerMs }, 700, 2000)).to.equal(true);
    expect(check({ arrivalsPerMs }, 600, 2000)).to.equal(false);
    expect(check({ arrivalsPerMs: 0.01 }, 600, 2000)).to.equal(true);
  });

  it('answers more of an overload in time than deadlines alone, and nearly as many in total', () => {
    const withAdmissionControl = simulateOverload(true);
    const withoutAdmissionControl = simulateOverload(false);
    expect(withAdmissionControl.inTime).to.be.greaterThan(withoutAdmissionControl.inTime * 1.3);
    expect(withAdmissionControl.served).to.be.greaterThan(withoutAdmissionControl.served * 0.95);
    // A request is refused while most of its 2.4 seconds are left, so that its caller can retry.
    expect(withAdmissionControl.meanUnservedWaitMs).to.be.lessThan(2400 / 4);
  });

  it('accepts a higher failure probability if waiting takes a larger share of the time left', () => {
    const probabilities = [20_000, 2000, 800, 600, 100].map((left) =>
      computeMaxFailureProbability(state, left),
    );
    expect([...probabilities].sort((left, right) => left - right)).to.deep.equal(probabilities);
    expect(probabilities[0]).to.be.within(0.2, 0.25);
    expect(probabilities.at(-1)).to.equal(0.6);
  });

  it('tells callers to retry while they have time left, and not all at once', () => {
    const random = createRandom(5);
    const draws = Array.from({ length: 200 }, () => drawRetryAfterMs(400, 3000, random));
    expect(Math.max(...draws)).to.be.lessThan(1000);
    expect(Math.min(...draws)).to.be.greaterThan(250);
    const firstHalf = draws.filter((draw) => draw < 400).length;
    expect(firstHalf).to.be.within(60, 140);
    expect(drawRetryAfterMs(Number.POSITIVE_INFINITY, 900, random)).to.equal(300);
  });
});
