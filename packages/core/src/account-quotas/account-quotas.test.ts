import { expect } from 'chai';

import { hashText } from '../runtime/index.js';
import {
  computeQuotaLimits,
  computeTokenShare,
  FleetBucket,
  HeardDaemons,
  RetryTimes,
} from './index.js';

const BOUNDS = { windowMs: 5000, overshoot: 0.25, slack: 20 };
const RATE = { ratePerSecond: 20, burst: 20 };
const LIMITS = computeQuotaLimits(RATE, BOUNDS);
const IDS = ['d-1', 'd-2', 'd-3', 'd-4'];

describe('the share of an account that a daemon may use', () => {
  function computeShares(known: readonly number[], heard: readonly number[]): readonly number[] {
    return IDS.map((selfId, own) => {
      const { share } = computeTokenShare({
        accountName: 'a',
        selfId,
        ownDemand: known[own] ?? 0,
        isActive: (known[own] ?? 0) > 0,
        others: IDS.map((id, index) => ({ id, demand: heard[index] ?? 0, isActive: true })).filter(
          ({ id }) => id !== selfId,
        ),
        dispatcherIds: IDS,
        hash: hashText,
      });
      return share;
    });
  }

  // Shares that sum up to more would be exceeded by a flood through all daemons.
  it('sums up to one at most while demand moves, as others hear of demand before it counts', () => {
    const sum = (shares: readonly number[]): number => shares.reduce((one, two) => one + two, 0);
    expect(sum(computeShares([5, 5, 5, 5], [5, 5, 5, 5]))).to.be.at.most(1);
    expect(sum(computeShares([0, 0, 9, 9], [9, 9, 9, 9]))).to.be.at.most(1);
    expect(computeShares([0, 0, 0, 0], [9, 0, 0, 0])).to.deep.equal([0, 0, 0, 0]);
  });
});

describe('the tokens of an account in a partition', () => {
  let bucket: FleetBucket;

  beforeEach(() => {
    bucket = new FleetBucket(RATE, LIMITS, 0);
    bucket.setTokens(20, 0);
  });

  // Both sides saw a full bucket when the partition began.
  it('are divided as of its beginning, what was spent since included', () => {
    bucket.spend(16, 100);
    bucket.setVisiblePart(0.5, 100);
    const total = 20 + (20 * 100) / 1000;
    expect(bucket.getTokens(100)).to.be.closeTo(total / 2 - 16, 1e-9);
    expect(bucket.refillPerMs).to.equal(0.01);
  });

  // Counting what the other side admitted against this side's part would starve the account.
  it('pay for the other side from what was put aside, and the rest returns', () => {
    bucket.spend(20, 0);
    bucket.setVisiblePart(0.5, 0);
    const before = bucket.getTokens(1500);
    bucket.spendLate(20, 1500);
    expect(bucket.getTokens(1500)).to.equal(before);
    bucket.setVisiblePart(1, 1500);
    expect(bucket.getTokens(1500)).to.be.closeTo(before + 5, 1e-9);
  });
});

describe('the daemons that are heard', () => {
  const INTERVAL_MS = 150;
  let heard: HeardDaemons;

  function recordReport(id: string, sequence: number, now: number): boolean | undefined {
    return heard.recordReport({ id, startId: 1, sequence }, INTERVAL_MS, now)?.wasSilent;
  }

  function computePart(now: number): number {
    return heard.computeHeardPart('d-1', IDS, INTERVAL_MS, now);
  }

  beforeEach(() => {
    heard = new HeardDaemons(0);
  });

  it('are those that were not silent for long, and one more lost report is no silence', () => {
    IDS.slice(1).forEach((id) => recordReport(id, 1, 100));
    expect(computePart(400)).to.equal(1);
    recordReport('d-2', 2, 450);
    expect([computePart(600), recordReport('d-3', 2, 600), computePart(600)]).to.deep.equal([
      0.5,
      true,
      0.75,
    ]);
  });

  it('include daemons of the version before once these would have reported', () => {
    expect([computePart(100), computePart(5100)]).to.deep.equal([0.25, 1]);
  });

  it('are not heard again by a report that was overtaken', () => {
    recordReport('d-2', 2, 100);
    expect(recordReport('d-2', 1, 110)).to.equal(undefined);
  });
});

describe('the times at which refused requests may come back', () => {
  it('follow each other instead of being the same', () => {
    const times = new RetryTimes();
    const outlook = { tokens: -1, refillPerMs: 0.02, share: 0.5 };
    expect([0, 0, 0].map((now) => times.take(outlook, now))).to.deep.equal([100, 300, 500]);
  });
});
