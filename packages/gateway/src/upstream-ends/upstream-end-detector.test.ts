import { createRandom } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';
import { expect } from 'chai';
import { mock } from 'node:test';

import { buildUpstreamRecord } from '../requests/request-fixtures.js';
import { UpstreamState } from '../requests/index.js';
import type { Reachability, UpstreamPool } from '../upstreams/index.js';
import { UpstreamEndDetector } from './index.js';
import type { EndVerdict, UpstreamEnd } from './index.js';

const WAIT_MS = 500;
const NO_LOG = { info: () => undefined } as unknown as Log;

describe('the end of an upstream', () => {
  let now = 0;
  let reachable: Record<string, Reachability>;
  let reachableCount: number;
  let upstreams: readonly UpstreamState[];
  let verdicts: EndVerdict[];
  let ends: UpstreamEnd[];
  let detector: UpstreamEndDetector;

  function createUpstream(id: string): UpstreamState {
    const pool = {
      checkReachable: (onEnd: (reachability: Reachability) => void) => {
        const reachability = reachable[id] ?? 'open';
        // Nothing comes back from a silent one until the connection is given up.
        setTimeout(() => onEnd(reachability), reachability === 'silent' ? 300 : 2);
      },
    } as unknown as UpstreamPool;
    return new UpstreamState(buildUpstreamRecord(id), pool, 0);
  }

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
    now = 0;
    reachable = {};
    reachableCount = Number.POSITIVE_INFINITY;
    verdicts = [];
    ends = [];
    upstreams = ['u1', 'u2', 'u3', 'u4', 'u5', 'u6', 'u7', 'u8'].map(createUpstream);
    detector = new UpstreamEndDetector({
      clock: { now: () => now },
      random: createRandom(5),
      log: NO_LOG,
      listUpstreams: () => upstreams,
      listReachable: () => upstreams.slice(0, reachableCount),
      onVerdict: (verdict) => verdicts.push(verdict),
      onEnd: (end) => ends.push(end),
    });
  });

  afterEach(() => mock.timers.reset());

  function pass(ms: number): void {
    Array.from({ length: ms }).forEach(() => {
      now += 1;
      mock.timers.tick(1);
    });
  }

  function recordLoss(index: number, fingerprint: string): void {
    const state = upstreams[index];
    if (state) detector.recordLoss({ state, fingerprint, othersInFlight: 0 }, () => undefined);
  }

  it('is seen where it refuses connections and others accept them, with all that it ran', () => {
    reachable = { u1: 'refused' };
    recordLoss(0, 'a');
    pass(10);
    recordLoss(0, 'b');
    pass(WAIT_MS);
    expect(verdicts).to.deep.equal(['ended']);
    expect(ends.map(({ fingerprints }) => fingerprints)).to.deep.equal([['a', 'b']]);
  });

  it('is not taken from a connection that was reset', () => {
    recordLoss(0, 'a');
    pass(WAIT_MS);
    expect(verdicts).to.deep.equal(['alive']);
  });

  it('is not taken from a silent link', () => {
    reachable = { u1: 'silent' };
    recordLoss(0, 'a');
    pass(WAIT_MS);
    expect(verdicts).to.deep.equal(['unknown']);
  });

  it('is not believed by a daemon to which all other upstreams are silent', () => {
    reachable = Object.fromEntries(upstreams.map(({ record }) => [record.id, 'silent']));
    reachable.u1 = 'refused';
    recordLoss(0, 'a');
    pass(WAIT_MS);
    expect(verdicts).to.deep.equal(['unknown']);
    expect(ends).to.deep.equal([]);
  });

  it('is marked where all other upstreams have ended as well, or refuse this daemon', () => {
    reachable = Object.fromEntries(upstreams.map(({ record }) => [record.id, 'refused']));
    recordLoss(0, 'a');
    pass(WAIT_MS);
    expect(verdicts).to.deep.equal(['common-cause']);
    expect(ends.map(({ hasCommonCause }) => hasCommonCause)).to.deep.equal([true]);
  });

  [0, 3].forEach((count) => {
    it(`is marked at a daemon that could reach only ${count} of 8 upstreams lately`, () => {
      reachable = { u1: 'refused' };
      reachableCount = count;
      recordLoss(0, 'a');
      pass(WAIT_MS);
      expect(verdicts).to.deep.equal(['common-cause']);
      expect(ends.map(({ hasCommonCause }) => hasCommonCause)).to.deep.equal([true]);
    });
  });

  it('is marked where several upstreams end at the same moment, with other requests', () => {
    reachable = { u1: 'refused', u2: 'refused', u3: 'refused' };
    ['a', 'b', 'c'].forEach((fingerprint, index) => recordLoss(index, fingerprint));
    pass(WAIT_MS);
    expect(verdicts).to.deep.equal(['common-cause', 'common-cause', 'common-cause']);
    expect(ends.map(({ hasCommonCause }) => hasCommonCause)).to.deep.equal([true, true, true]);
  });

  it('is not put down to a common cause where one request was lost at all of them', () => {
    reachable = { u1: 'refused', u2: 'refused', u3: 'refused' };
    [0, 1, 2].forEach((index) => {
      recordLoss(index, 'a');
      pass(65);
    });
    pass(WAIT_MS);
    expect(verdicts).to.deep.equal(['ended', 'ended', 'ended']);
    expect(ends.some(({ hasCommonCause }) => hasCommonCause)).to.equal(false);
  });

  it('is told apart from an earlier one', () => {
    reachable = { u1: 'refused' };
    recordLoss(0, 'a');
    pass(WAIT_MS);
    reachable = { u1: 'refused', u2: 'refused' };
    recordLoss(1, 'a');
    pass(WAIT_MS);
    expect(verdicts).to.deep.equal(['ended', 'ended']);
  });
});
