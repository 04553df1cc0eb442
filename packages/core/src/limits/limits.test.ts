import { expect } from 'chai';
import fc from 'fast-check';

import { TokenLender, BorrowedTokens } from './index.js';

const RATE = { ratePerSecond: 10, burst: 20 };

describe('TokenLender', () => {
  it('never lends more than the burst plus the tokens accrued at the rate', () => {
    const step = fc.record({
      elapsedMs: fc.integer({ min: 0, max: 500 }),
      wanted: fc.integer({ min: 1, max: 10 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 50 }), (steps) => {
        const lender = new TokenLender();
        let now = 0;
        let lent = 0;
        steps.forEach(({ elapsedMs, wanted }) => {
          now += elapsedMs;
          lent += lender.lend('c', RATE, { needed: 1, wanted, share: 1 }, now).granted;
        });
        expect(lent).to.be.at.most(RATE.burst + (now / 1000) * RATE.ratePerSecond + 1e-6);
      }),
      { seed: 4 },
    );
  });

  it('keeps the total of both sides of a partition within the rate', () => {
    const shares = [0.4, 0.6];
    const lent = shares.map((share) => {
      const lender = new TokenLender();
      return Array.from({ length: 1000 }, (_, index) =>
        lender.lend('c', RATE, { needed: 1, wanted: 1, share }, index * 10),
      ).reduce((sum, loan) => sum + loan.granted, 0);
    });
    expect(lent.reduce((sum, count) => sum + count, 0)).to.be.at.most(RATE.burst + 100 + 2);
  });

  it('returns when a retry may succeed if it has too few tokens', () => {
    const lender = new TokenLender();
    lender.lend('c', RATE, { needed: 20, wanted: 20, share: 1 }, 0);
    const loan = lender.lend('c', RATE, { needed: 5, wanted: 5, share: 1 }, 0);
    expect(loan).to.deep.equal({ granted: 0, retryAfterSeconds: 0.5 });
  });
});

describe('BorrowedTokens', () => {
  it('can be spent only once and expire', () => {
    const borrowed = new BorrowedTokens();
    borrowed.add('c', 2, 0);
    expect([1, 2, 3].map(() => borrowed.spend('c', 1, 0))).to.deep.equal([true, true, false]);
    borrowed.add('c', 2, 0);
    expect(borrowed.spend('c', 1, 5000)).to.equal(false);
  });
});
