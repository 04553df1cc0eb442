/**
 * Guards against an account that is refused within the quota of a window, and against one that is
 * admitted more.
 */
import { expect } from 'chai';

import { WindowUse } from './window-use.js';

const RATE = { ratePerSecond: 10, burst: 10 };
const BOUNDS = { windowMs: 5000, overshoot: 0.2, slack: 20 };

describe('WindowUse', () => {
  it('leaves the quota of a window and half of the overshoot, less what was admitted', () => {
    const use = new WindowUse(BOUNDS.windowMs);
    expect(use.computeLeft(RATE, BOUNDS, 0)).to.be.closeTo(66, 1e-9);
    use.record(40, 100);
    use.record(30, 150);
    use.record(-5, 200);
    expect(use.computeLeft(RATE, BOUNDS, 300)).to.be.closeTo(1, 1e-9);
  });

  it('forgets a request once it has left the window, not earlier', () => {
    const use = new WindowUse(BOUNDS.windowMs);
    use.record(50, 1000);
    use.record(10, 1090);
    expect(use.computeLeft(RATE, BOUNDS, 6089)).to.be.closeTo(6, 1e-9);
    expect(use.computeLeft(RATE, BOUNDS, 6101)).to.be.closeTo(66, 1e-9);
  });
});
