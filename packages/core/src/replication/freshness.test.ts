import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import { Freshness } from './freshness.js';

const STEP_MS = 50;

describe('Freshness', () => {
  it('forwards a claim with its age and its source', () => {
    const reader = new Freshness('reader');
    const follower = new Freshness('follower');
    expect(reader.buildClaim(0)).to.equal(undefined);
    reader.recordRead(100);
    const claim = reader.buildClaim(300);
    expect(claim).to.deep.equal({ ageMs: 200, sourceId: 'reader' });
    follower.recordClaim(claim ?? { ageMs: 0, sourceId: '' }, 5000);
    expect(follower.buildClaim(5100)).to.deep.equal({ ageMs: 300, sourceId: 'reader' });
  });

  it('ignores its own read when a peer sends it back as a claim', () => {
    const helper = new Freshness('helper');
    helper.recordRead(1000);
    helper.recordClaim({ ageMs: 10, sourceId: 'helper' }, 1100);
    expect(helper.shouldRead(3000, 1, 0, 10_000)).to.equal(true);
  });

  it('lets few of many daemons call a store that does not answer', () => {
    // Sixty daemons follow a reader that died, and the store does not answer.
    const random = createRandom(3);
    const daemons = Array.from({ length: 60 }, (_, rank) => ({
      rank,
      chance: random.next(),
      freshness: new Freshness(`vm-${rank}`),
    }));
    daemons.forEach(({ freshness }) =>
      freshness.recordClaim({ ageMs: 0, sourceId: 'the reader that died' }, 0),
    );
    const countAt = (now: number): number =>
      daemons.filter(({ freshness, rank, chance }) => freshness.shouldRead(now, rank, chance, now))
        .length;
    expect(countAt(1300)).to.equal(0);
    expect(countAt(1500)).to.be.within(1, 2);
    expect(countAt(2200)).to.equal(6);
  });

  it('lets no other daemon read once the first one has read', () => {
    const others = Array.from({ length: 5 }, (_, index) => new Freshness(`vm-${index + 2}`));
    const first = new Freshness('vm-1');
    const times = Array.from({ length: 100 }, (_, index) => 1000 + index * STEP_MS);
    const readers = times.map((now) => {
      if (first.shouldRead(now, 1, 0, now)) {
        first.recordRead(now);
        const claim = first.buildClaim(now);
        if (claim) others.forEach((other) => other.recordClaim(claim, now));
      }
      return others.filter((other, index) => other.shouldRead(now, index + 2, 0, now)).length;
    });
    expect(Math.max(...readers)).to.equal(0);
  });

  it('asks more helpers while the store rejects those asked before', () => {
    // The store answers only the eighth of ten daemons that rank behind the reader.
    const reader = new Freshness('vm-0');
    reader.recordClaim({ ageMs: 0, sourceId: 'vm-0 before' }, 0);
    const asked = [0, 400, 800, 1200, 1600].map((awayMs) => reader.countHelpers(awayMs, awayMs));
    expect(asked[0]).to.equal(2);
    expect(Math.max(...asked)).to.be.within(8, 12);
    reader.recordClaim({ ageMs: 10, sourceId: 'vm-8' }, 1600);
    expect(reader.countHelpers(1700, 1700)).to.equal(2);
  });
});
