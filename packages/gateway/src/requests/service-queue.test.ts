import { expect } from 'chai';
import { mock } from 'node:test';

import { createRandom } from '@baobabline/core';

import { buildQueueEntry } from './queue-entry.js';
import { buildRoutedRequest } from './request-fixtures.js';
import { ServiceQueue } from './service-queue.js';
import type { QueuedPlacement } from './service-queue-types.js';
import type { RoutedRequest } from './types.js';

describe('ServiceQueue', () => {
  const now = 0;
  let freeSlots = 0;
  let placed: readonly string[] = [];
  let queue: ServiceQueue;

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
    freeSlots = 0;
    placed = [];
    queue = new ServiceQueue({
      clock: { now: () => now },
      random: createRandom(5),
      allowance: { windowMs: 1000, ratio: 0, fleetSlack: 1, getSlackShare: () => 1 },
      countSlots: () => 10,
      hasRandomShedding: () => false,
      countAllSlots: () => 10,
      findOwnPart: () => undefined,
    });
  });

  afterEach(() => mock.timers.reset());

  function buildRequest(name: string): RoutedRequest {
    const account = { name, keyDigests: [], burst: 0, ratePerSecond: 10 };
    const times = { timeoutMs: 5000, targetLatencyMs: 4000 };
    return {
      ...buildRoutedRequest(name, now, 'unsafe', times),
      caller: { account, keyDigest: '' },
    };
  }

  function buildPlacement(request: RoutedRequest): QueuedPlacement {
    return {
      ...buildQueueEntry(request, 100, false),
      tryPlace: () => {
        if (freeSlots === 0) return false;
        freeSlots -= 1;
        placed = [...placed, request.id];
        return true;
      },
      onExpired: () => undefined,
      onHopeless: () => undefined,
    };
  }

  /** Lets an account ask for and get far more than another. */
  function recordFlood(): void {
    Array.from({ length: 60 }, () => buildRequest('flood')).forEach((request, index) => {
      queue.recordArrival(request);
      if (index % 3 === 0) queue.recordServed(request);
    });
    Array.from({ length: 5 }, () => buildRequest('small')).forEach((request) => {
      queue.recordArrival(request);
      queue.recordServed(request);
    });
  }

  it('places requests of an account over its share after all others, whichever arrived first', () => {
    recordFlood();
    ['flood', 'small'].forEach((name) => queue.wait(buildPlacement(buildRequest(name))));
    expect(queue.describeOverload().accountsOverShare).to.deep.equal(['flood']);
    freeSlots = 1;
    queue.serve();
    expect(placed).to.deep.equal(['small']);
  });

  it('lets a new request of an account over its share overtake none that waits', () => {
    recordFlood();
    queue.wait(buildPlacement(buildRequest('flood')));
    expect(queue.mayPlaceAtOnce(buildRequest('flood'))).to.equal(false);
    expect(queue.mayPlaceAtOnce(buildRequest('small'))).to.equal(true);
    freeSlots = 1;
    expect(queue.mayPlaceAtOnce(buildRequest('flood'))).to.equal(true);
    expect(placed).to.deep.equal(['flood']);
  });
});
