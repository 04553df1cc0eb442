import { createRefusal } from '@baobabline/core';
import { expect } from 'chai';

import { buildRoutedRequest } from '../requests/request-fixtures.js';
import type { PlacedRequest, RequestEnd, RoutedRequest } from '../requests/index.js';
import type { QuotaPermit } from './account-quotas.js';
import { serveWithinQuota } from './serve-within-quota.js';

const ACCOUNT = { name: 'a', keyDigests: ['k'], ratePerSecond: 1, burst: 1 };

describe('a request of a client account', () => {
  let released = 0;
  let served = 0;
  let ends: readonly RequestEnd[] = [];
  let endServed: (end: RequestEnd) => void = () => undefined;

  function serve(hasBeenSent: boolean, permit?: QuotaPermit): { cancel: () => void } {
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
    return serveWithinQuota(
      { admit: () => permit ?? { kind: 'admitted', release } },
      request,
      (end) => {
        ends = [...ends, end];
      },
      (_request, onEnd) => {
        served += 1;
        endServed = onEnd;
        return placed;
      },
    );
  }

  beforeEach(() => {
    released = 0;
    served = 0;
    ends = [];
  });

  it('is refused as not run, with a time, and never placed beyond the quota', () => {
    serve(false, { kind: 'refused', retryAfterMs: 1500 });
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
