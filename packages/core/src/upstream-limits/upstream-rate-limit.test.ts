import { expect } from 'chai';

import { UpstreamRateLimit } from './index.js';

describe('UpstreamRateLimit', () => {
  let limit: UpstreamRateLimit;

  beforeEach(() => {
    limit = new UpstreamRateLimit();
    limit.recordStatement(2, 100, 200);
  });

  it('holds the newest stated limit, zero included', () => {
    expect(limit.recordStatement(0, 150, 300)).to.deep.equal({
      previousPerSecond: 2,
      perSecond: 0,
    });
    expect(limit.recordStatement(0, 150, 310)).to.equal(undefined);
    expect(limit.known).to.deep.equal({ perSecond: 0, statedAt: 310 });
  });

  it('is left as it is by a statement that cannot be read', () => {
    expect(limit.recordStatement('unreadable', 500, 600)).to.equal(undefined);
    expect(limit.known).to.deep.equal({ perSecond: 2, statedAt: 200 });
  });

  it('ends with an answer without a limit, unless its request was sent before the limit was stated', () => {
    limit.recordStatement(undefined, 150, 400);
    expect(limit.isLimited).to.equal(true);
    expect(limit.recordStatement(undefined, 200, 400)).to.deep.equal({
      previousPerSecond: 2,
      perSecond: undefined,
    });
    expect(limit.isLimited).to.equal(false);
  });

  it('ignores a report that is older than what is known', () => {
    expect(limit.applyReport({ perSecond: 9, statedAt: 199 })).to.equal(undefined);
    expect(limit.known.perSecond).to.equal(2);
  });
});
