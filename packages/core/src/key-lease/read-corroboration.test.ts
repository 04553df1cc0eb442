/**
 * Guards against daemons that take what they read, or whom they know, for all there is.
 */
import { expect } from 'chai';

import { ReadCorroboration } from './read-corroboration.js';
import type { LeaseSource, LeaseSources } from './types.js';

const ERA = 3;
const READ = { beganAt: 5, expectedAt: 700 };

function buildSources(ids: readonly string[]): readonly LeaseSource[] {
  return ids.map((id) => ({ id, address: id }));
}

describe('the corroboration of own reads', () => {
  let now = 0;
  let sources: LeaseSources;
  let hasStranger = false;
  let corroboration: ReadCorroboration;

  function isProvenBy(answers: readonly (readonly [string, number | undefined])[]): boolean {
    answers.forEach(([id, era]) => corroboration.recordAnswer(id, now, era));
    return corroboration.takeProvenRead() !== undefined;
  }

  beforeEach(() => {
    now = 0;
    hasStranger = false;
    sources = {
      nearReaders: buildSources(['near']),
      nearOthers: buildSources(['other', 'third']),
      farReaders: buildSources(['far-1', 'far-2']),
    };
    corroboration = new ReadCorroboration(
      { now: () => now },
      () => sources,
      () => hasStranger,
    );
    expect(corroboration.acceptRead(ERA, READ)).to.equal(false);
  });

  // A daemon that started ran requests with removed keys until it had heard of the newer configuration.
  it('is one answer of a daemon with a proof of the same era, and then reads count by themselves', () => {
    expect(isProvenBy([['near', ERA]])).to.equal(true);
    expect(corroboration.acceptRead(ERA, READ)).to.equal(true);
    expect(corroboration.acceptRead(ERA + 1, READ), 'after a restore').to.equal(false);
    expect(corroboration.acceptRead(ERA, READ), 'a late answer').to.equal(false);
  });

  // A data centre that was partitioned during a restore confirmed its old keys to itself.
  it('is none by the own data centre alone where no proof is of this era', () => {
    const near = ['near', 'other', 'third'].map((id) => [id, ERA - 1] as const);
    expect(isProvenBy(near)).to.equal(false);
    expect(isProvenBy([['far-1', ERA - 1]])).to.equal(false);
    expect(isProvenBy([['far-2', ERA - 1]])).to.equal(true);
  });

  it('counts no answer to a question of before the wait', () => {
    expect(isProvenBy([['near', ERA]])).to.equal(true);
    now = 500;
    corroboration.acceptRead(ERA + 1, READ);
    ['near', 'other', 'far-1', 'far-2'].forEach((id) => corroboration.recordAnswer(id, 400, ERA));
    expect(corroboration.takeProvenRead()).to.equal(undefined);
  });

  // All seeds that start together know only each other, while others run that know more.
  it('is none by daemons that have all just started, while an unknown one is heard', () => {
    const all = ['near', 'other', 'far-1', 'far-2'].map((id) => [id, undefined] as const);
    expect(isProvenBy(all), 'too early').to.equal(false);
    now = 700;
    hasStranger = true;
    expect([corroboration.hasListened, isProvenBy([])]).to.deep.equal([false, false]);
    hasStranger = false;
    expect([corroboration.hasListened, isProvenBy([])]).to.deep.equal([true, true]);
  });

  it('is waited for though the store was away for long when the daemon started', () => {
    const started = new ReadCorroboration(
      { now: () => now },
      () => sources,
      () => hasStranger,
    );
    now = 60_000;
    started.acceptRead(ERA, READ);
    expect(started.takeProvenRead()).to.equal(undefined);
    started.recordAnswer('near', now, ERA);
    expect(started.takeProvenRead()).to.equal(READ);
  });

  it('is not waited for without end, and not at once without any other daemon', () => {
    now = 9900;
    expect(isProvenBy([])).to.equal(false);
    now = 10_000;
    expect(isProvenBy([])).to.equal(true);
    now = 20_000;
    sources = { nearReaders: [], nearOthers: [], farReaders: [] };
    corroboration.acceptRead(ERA + 1, READ);
    expect(isProvenBy([])).to.equal(false);
    now += 1500;
    expect(isProvenBy([])).to.equal(true);
  });
});
