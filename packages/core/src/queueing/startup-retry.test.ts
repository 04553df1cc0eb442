/**
 * Guards against callers that are sent away for longer than a daemon needs to start, or all come back
 * at once.
 */
import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import { drawStartupRetryMs } from './index.js';

describe('drawStartupRetryMs', () => {
  it('sends callers away until a daemon usually has a configuration, and longer if it takes longer', () => {
    const lowest = { next: () => 0 };
    const times = [0, 200, 390, 1000, 1800, 60_000].map((runningMs) =>
      drawStartupRetryMs(runningMs, lowest),
    );
    expect(times).to.deep.equal([400, 200, 195, 500, 900, 1000]);
  });

  it('spreads the return of callers that were refused at the same moment', () => {
    const random = createRandom(3);
    const returns = Array.from({ length: 300 }, () => drawStartupRetryMs(0, random));
    const buckets = [400, 450, 500, 550].map(
      (from) => returns.filter((at) => at >= from && at < from + 50).length,
    );
    expect(Math.max(...buckets)).to.be.lessThan(120);
    expect(returns.every((at) => at >= 400 && at <= 600)).to.equal(true);
  });
});
