import { createRandom } from '@baobabline/core';
import { expect } from 'chai';
import { mock } from 'node:test';

import { UpstreamState } from '../requests/index.js';
import { buildUpstreamRecord } from '../requests/request-fixtures.js';
import type { Reachability, UpstreamPool } from '../upstreams/index.js';
import { UpstreamLinkMonitor } from './index.js';

const TICK_MS = 200;
const IDS = Array.from({ length: 26 }, (_, index) => `u${index}`);

describe('the links of a daemon to the upstreams', () => {
  let now = 0;
  let lost: readonly string[];
  let kind: Reachability;
  let hasCutOffNeighbour: boolean;
  let changes: boolean[];
  let connections: number;
  let monitor: UpstreamLinkMonitor;

  function createUpstream(id: string): UpstreamState {
    const pool = {
      checkReachable: (onEnd: (reachability: Reachability) => void) => {
        connections += 1;
        const reachability = lost.includes(id) ? kind : 'open';
        setTimeout(() => onEnd(reachability), reachability === 'silent' ? 300 : 2);
      },
    } as unknown as UpstreamPool;
    return new UpstreamState(buildUpstreamRecord(id), pool, 0);
  }

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
    now = 0;
    lost = [];
    kind = 'refused';
    hasCutOffNeighbour = false;
    changes = [];
    connections = 0;
    const upstreams = IDS.map(createUpstream);
    monitor = new UpstreamLinkMonitor({
      clock: { now: () => now },
      random: createRandom(3),
      listUpstreams: () => upstreams,
      hasCutOffNeighbour: () => hasCutOffNeighbour,
      onChange: (isCutOff) => changes.push(isCutOff),
    });
  });

  afterEach(() => mock.timers.reset());

  function pass(ms: number): void {
    Array.from({ length: ms }).forEach(() => {
      now += 1;
      mock.timers.tick(1);
      if (now % TICK_MS === 0) monitor.runTick();
    });
  }

  function recordFailures(count: number): void {
    IDS.slice(0, count).forEach((id) => monitor.recordFailure(id));
  }

  (['refused', 'silent'] as const).forEach((reachability) => {
    it(`are lost within a second where most upstreams fail (${reachability}), and back after it`, () => {
      lost = IDS.slice(0, 22);
      kind = reachability;
      recordFailures(3);
      pass(1000);
      expect(changes).to.deep.equal([true]);
      lost = [];
      pass(2000);
      expect(changes).to.deep.equal([true, false]);
      expect(monitor.isCutOff).to.equal(false);
    });
  });

  it('are not lost where one upstream after the other fails', () => {
    lost = IDS;
    ['u1', 'u2', 'u1'].forEach((id) => {
      monitor.recordFailure(id);
      pass(1500);
    });
    expect([changes, connections]).to.deep.equal([[], 0]);
  });

  it('are not lost where three in ten upstreams end together', () => {
    lost = IDS.slice(0, 8);
    Array.from({ length: 40 }).forEach(() => {
      recordFailures(8);
      pass(250);
    });
    expect(changes).to.deep.equal([]);
  });

  it('are not lost by one check that fails', () => {
    lost = IDS;
    recordFailures(3);
    pass(50);
    lost = [];
    pass(2000);
    expect(changes).to.deep.equal([]);
  });

  it('are checked once where a daemon of the data centre has lost its own, without any traffic', () => {
    lost = IDS;
    hasCutOffNeighbour = true;
    pass(TICK_MS + 10);
    expect([changes, connections]).to.deep.equal([[true], 8]);
  });

  it('are checked seldom while failures go on', () => {
    Array.from({ length: 200 }).forEach(() => {
      recordFailures(5);
      pass(10);
    });
    expect(connections).to.be.at.most(5 * 8);
  });
});
