import { expect } from 'chai';
import { mock } from 'node:test';

import { computeUpstreamHash } from '../reports/index.js';
import { formatRateLimits, parseRateLimits, RateLimitReports } from './index.js';
import type { ReportedRateLimit, UpstreamStatement } from './index.js';

const TICK_MS = 200;

describe('reports of rate limits', () => {
  let now = 0;
  let statements: readonly UpstreamStatement[] = [];
  let sent: readonly (readonly ReportedRateLimit[])[] = [];
  let recipients = 0;
  let recipientCounts = 0;
  let reports: RateLimitReports;

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
    now = 0;
    statements = [];
    sent = [];
    recipients = 10;
    recipientCounts = 0;
    reports = new RateLimitReports({
      clock: { now: () => now },
      listOwnStatements: () => statements,
      countRecipients: () => {
        recipientCounts += 1;
        return recipients;
      },
      send: (limits) => {
        sent = [...sent, limits];
      },
    });
  });

  afterEach(() => mock.timers.reset());

  function run(forMs: number, stepMs = TICK_MS): void {
    Array.from({ length: forMs / stepMs }).forEach(() => {
      now += stepMs;
      mock.timers.tick(stepMs);
      if (now % TICK_MS === 0) reports.runTick();
    });
  }

  it('tell of a change at once, and repeat a limit every second while it is in force', () => {
    run(2000);
    statements = [{ upstreamId: 'u', perSecond: 2, statedAt: now }];
    reports.recordChange();
    run(10, 10);
    expect(sent).to.deep.equal([[{ upstream: computeUpstreamHash('u'), perSecond: 2, ageMs: 10 }]]);
    run(5000, 10);
    expect(sent).to.have.length.within(5, 6);
  });

  it('tell of a change at once also just after a tick without anything to report', () => {
    run(2200);
    statements = [{ upstreamId: 'u', perSecond: 2, statedAt: now }];
    reports.recordChange();
    run(10, 10);
    expect(sent).to.have.length(1);
  });

  it('do not ask for recipients while there is nothing to report', () => {
    run(10_000);
    expect(recipientCounts).to.equal(0);
  });

  it('repeat a limit that was known before by a report, once an own answer states it', () => {
    run(2000);
    statements = [{ upstreamId: 'u', perSecond: 2, statedAt: now }];
    run(2000);
    expect(sent).to.have.length(2);
  });

  it('are repeated less often to more daemons, and the end of a limit as many times', () => {
    recipients = 509;
    run(6000);
    statements = [{ upstreamId: 'u', perSecond: 2, statedAt: now }];
    run(60_000);
    expect(sent).to.have.length.within(11, 12);
    sent = [];
    statements = [{ upstreamId: 'u', perSecond: undefined, statedAt: now }];
    reports.recordChange();
    run(60_000, 10);
    expect(sent).to.have.length.within(4, 6);
  });

  it('are bounded however often a limit changes', () => {
    run(2000);
    Array.from({ length: 100 }).forEach((_, index) => {
      statements = [{ upstreamId: 'u', perSecond: index, statedAt: now }];
      reports.recordChange();
      run(10, 10);
    });
    expect(sent).to.have.length.within(1, 6);
  });

  it('tell of the end of a limit for some seconds', () => {
    run(2000);
    statements = [{ upstreamId: 'u', perSecond: undefined, statedAt: now }];
    reports.recordChange();
    run(20_000, 10);
    expect(sent).to.have.length.within(4, 6);
    expect(sent[0]?.[0]?.perSecond).to.equal(undefined);
  });

  it('travel without loss, and arbitrary bytes are rejected', () => {
    const limits = [
      { upstream: 7, perSecond: 3.2, ageMs: 40 },
      { upstream: 8, perSecond: undefined, ageMs: 0 },
    ];
    expect(parseRateLimits(formatRateLimits(limits))).to.deep.equal(limits);
    expect(parseRateLimits(Buffer.from('nonsense'))).to.equal(undefined);
    expect(parseRateLimits(formatRateLimits([{ upstream: 7, perSecond: -1, ageMs: 0 }]))).to.equal(
      undefined,
    );
  });
});
