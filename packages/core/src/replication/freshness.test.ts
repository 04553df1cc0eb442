import { expect } from 'chai';

import { Freshness } from './freshness.js';

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
    expect(helper.recordClaim({ ageMs: 10, sourceId: 'helper' }, 1100)).to.equal(false);
    expect(helper.computeStaleSince(0)).to.equal(new Freshness('other').computeStaleSince(0));
  });

  it('finds records stale once no peer makes a fresh claim, or once the claims are old', () => {
    const follower = new Freshness('follower');
    follower.recordClaim({ ageMs: 100, sourceId: 'reader' }, 5000, 'reader');
    expect(follower.computeStaleSince(0)).to.equal(5900);
    follower.recordClaim({ ageMs: 900, sourceId: 'reader' }, 5800, 'reader');
    expect(follower.computeStaleSince(0)).to.equal(6300);
    expect(follower.recordClaim({ ageMs: 1400, sourceId: 'reader' }, 6300)).to.equal(false);
    expect(follower.computeStaleSince(0)).to.equal(6300);
  });

  it('takes no claim for a confirmation that others repeat of a reader that may be gone', () => {
    const follower = new Freshness('follower');
    follower.recordClaim({ ageMs: 0, sourceId: 'reader' }, 5000, 'reader');
    expect(follower.recordClaim({ ageMs: 810, sourceId: 'reader' }, 5800, 'peer')).to.equal(false);
    expect(follower.computeStaleSince(0)).to.equal(5900);
    expect(follower.recordClaim({ ageMs: 300, sourceId: 'reader' }, 5800, 'peer')).to.equal(true);
  });

  it('waits for claims from the end of a role on, whatever claims were made before', () => {
    const reader = new Freshness('reader before');
    reader.recordClaim({ ageMs: 0, sourceId: 'far' }, 1000);
    expect(reader.computeStaleSince(9000)).to.equal(9900);
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
