import { createRefusal } from '@baobabline/core';
import { expect } from 'chai';
import { mock } from 'node:test';

import { buildRoutedRequest } from '../requests/request-fixtures.js';
import type { PlacedRequest, RequestEnd, RoutedRequest } from '../requests/index.js';
import type { QuotaPermit } from './account-quotas.js';
import { serveWithinQuota } from './serve-within-quota.js';
import type { QuotaServing } from './serve-within-quota.js';

const ACCOUNT = { name: 'a', keyDigests: ['k'], ratePerSecond: 1, burst: 1 };

describe('a request of a client account', () => {
  let released = 0;
  let served = 0;
  let ends: readonly RequestEnd[] = [];
  let endServed: (end: RequestEnd) => void = () => undefined;

  let now = 0;

  function serve(
    hasBeenSent: boolean,
    permit?: QuotaPermit,
    admit?: () => QuotaPermit,
  ): { cancel: () => void } {
    const request: RoutedRequest = {
      ...buildRoutedRequest('r', 0, 'safe'),
      caller: { account: ACCOUNT, keyDigest: 'k' },
    };
    const release = (): void => {
      released += 1;
    };
    const placed: PlacedRequest = {
      isAtUpstream: false,
      hasBeenSent,
      cancel: () => undefined,
      failAsStopping: () => undefined,
    };
    const serving: QuotaServing = {
      clock: { now: () => now },
      quotas: { admit: admit ?? (() => permit ?? { kind: 'admitted', release }) },
      serve: (_request, onEnd) => {
        served += 1;
        endServed = onEnd;
        return placed;
      },
    };
    return serveWithinQuota(serving, request, (end) => {
      ends = [...ends, end];
    });
  }

  beforeEach(() => {
    released = 0;
    served = 0;
    ends = [];
    now = 0;
  });

  // After the loss of all power daemons begin without tokens, and refused what had waited for them.
  it('waits for a token while its daemon is unsure of the quota, for a part of its target', () => {
    mock.timers.enable({ apis: ['setTimeout'] });
    const refused: QuotaPermit = { kind: 'refused', retryAfterMs: 100, isLearning: true };
    const permits: readonly QuotaPermit[] = [
      refused,
      { kind: 'admitted', release: () => undefined },
    ];
    let asked = 0;
    serve(false, undefined, () => {
      asked += 1;
      return permits[asked - 1] ?? refused;
    });
    expect([served, ends.length]).to.deep.equal([0, 0]);
    mock.timers.tick(40);
    expect([served, ends.length]).to.deep.equal([1, 0]);
    serve(false, refused);
    now = 41;
    mock.timers.tick(40);
    expect([served, ends.length]).to.deep.equal([1, 1]);
    serve(false, refused).cancel();
    mock.timers.tick(400);
    expect([served, ends.length]).to.deep.equal([1, 2]);
    mock.timers.reset();
  });

  it('is refused as not run, with a time, and never placed beyond the quota', () => {
    serve(false, { kind: 'refused', retryAfterMs: 1500, isLearning: false });
    const [end] = ends;
    if (end?.kind !== 'refused') throw new Error('not refused');
    expect(end.error.result).to.include({ status: 429, outcome: 'not-run' });
    expect([end.error.retryAfterSeconds, served]).to.deep.equal([1.5, 0]);
  });

  // A token that is kept for a request that never ran is missing to the account.
  it('returns its token once if it ends without having run', () => {
    const request = serve(false);
    endServed({ kind: 'refused', error: createRefusal('noCapacity') });
    request.cancel();
    serve(false).cancel();
    expect([released, ends.length]).to.deep.equal([2, 1]);
  });

  it('keeps its token if it may have run', () => {
    serve(true);
    endServed({ kind: 'refused', error: createRefusal('upstreamLost') });
    serve(true).cancel();
    expect(released).to.equal(0);
  });
});
