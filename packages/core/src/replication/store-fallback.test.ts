import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import { DEFAULT_STORE_FALLBACK_SETTINGS, StoreFallback } from './store-fallback.js';
import type { FallbackSituation } from './store-fallback.js';

const STEP_MS = 5;
const STALE_SINCE = 1000;

type Daemon = {
  readonly id: string;
  readonly fallback: StoreFallback;
  readonly situation: FallbackSituation;
  isReading: boolean;
};

function createDaemons(count: number, seed: number, hasNext = false): readonly Daemon[] {
  const random = createRandom(seed);
  return Array.from({ length: count }, (_, index) => ({
    id: `vm-${index}`,
    fallback: new StoreFallback(createRandom(Math.floor(random.next() * 2 ** 31))),
    situation: {
      staleSince: STALE_SINCE,
      isNext: hasNext && index === 0,
      candidates: count,
      isStarting: false,
    },
    isReading: false,
  }));
}

/** Lets the daemons decide over a time; calls back with each one that begins to read. */
function runFor(
  daemons: readonly Daemon[],
  ms: number,
  onBegin: (one: Daemon, at: number) => void,
) {
  Array.from({ length: ms / STEP_MS }).forEach((_, step) => {
    const now = STALE_SINCE + step * STEP_MS;
    daemons.forEach((one) => {
      const isReading = one.fallback.shouldRead(one.situation, now);
      if (isReading && !one.isReading) onBegin(one, now);
      Object.assign(one, { isReading });
    });
  });
}

describe('reading the store for want of a reader', () => {
  it('begins within the spread for each daemon, whoever else is gone', () => {
    const { spreadMs } = DEFAULT_STORE_FALLBACK_SETTINGS;
    const begins = [1, 2, 12, 98].flatMap((count) =>
      createDaemons(count, count).map(({ fallback, situation }) =>
        fallback.computeReadAt(situation),
      ),
    );
    expect(Math.min(...begins)).to.be.at.least(STALE_SINCE);
    expect(Math.max(...begins)).to.be.at.most(STALE_SINCE + spreadMs);
  });

  it('begins with few of many daemons, so that the others can be told in time', () => {
    const early = Array.from({ length: 50 }, (_, seed) => {
      const begins = createDaemons(98, seed).map(({ fallback, situation }) =>
        fallback.computeReadAt(situation),
      );
      const first = Math.min(...begins);
      return begins.filter((at) => at < first + 30).length;
    });
    const mean = early.reduce((sum, count) => sum + count, 0) / early.length;
    expect(mean).to.be.lessThan(5);
  });

  it('is left to the next in rank if that one is there', () => {
    const daemons = createDaemons(60, 5, true);
    let begun: readonly string[] = [];
    runFor(daemons, 600, ({ id }) => {
      begun = [...begun, id];
      daemons.forEach((one) => {
        if (one.id !== id) one.fallback.reset();
        Object.assign(one.situation, { staleSince: STALE_SINCE + 900 });
      });
    });
    expect(begun).to.deep.equal(['vm-0']);
  });

  it('is begun by few of many daemons while the store answers none', () => {
    const daemons = createDaemons(98, 3);
    let begun: readonly string[] = [];
    runFor(daemons, 20_000, ({ id }) => {
      begun = [...begun, id];
    });
    expect(begun.length).to.equal(98);
    const telling = createDaemons(98, 3);
    begun = [];
    let begunAt: readonly number[] = [];
    runFor(telling, 20_000, ({ id }, now) => {
      begun = [...begun, id];
      begunAt = [...begunAt, now];
      telling.forEach(({ id: other, fallback }) => {
        if (other !== id) fallback.recordReader(id, now);
      });
    });
    const settings = DEFAULT_STORE_FALLBACK_SETTINGS;
    const { initialReaders, maxReaders, readTimeoutMs, readerLifetimeMs } = settings;
    const firstAt = Math.min(...begunAt);
    const early = begunAt.filter((at) => at < firstAt + readTimeoutMs);
    expect(early.length).to.equal(initialReaders);
    const first = begunAt.filter((at) => at < firstAt + readerLifetimeMs);
    expect(first.length).to.be.at.most(maxReaders);
    // What daemons say is heard for four seconds; here each of them says it once.
    expect(begun.length).to.be.at.most((maxReaders * 20_000) / readerLifetimeMs + maxReaders);
  });

  it('goes on until the records are fresh, and waits anew after that', () => {
    const [daemon] = createDaemons(1, 1) as [Daemon];
    const { fallback, situation } = daemon;
    expect(fallback.shouldRead(situation, STALE_SINCE - 1)).to.equal(false);
    expect(fallback.shouldRead(situation, STALE_SINCE + 400)).to.equal(true);
    expect(fallback.shouldRead(situation, STALE_SINCE + 5000)).to.equal(true);
    fallback.reset();
    const later = { ...situation, staleSince: STALE_SINCE + 5900 };
    expect(fallback.shouldRead(later, STALE_SINCE + 5899)).to.equal(false);
    expect(fallback.shouldRead(later, STALE_SINCE + 6300)).to.equal(true);
  });
});
