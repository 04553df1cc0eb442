import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import type { RandomSource } from '../runtime/index.js';
import { RequestQueue } from './index.js';
import type { QueuedRequest } from './index.js';

const PRIORITY_STEP_MS = 250;
const LATE_FACTOR = 1.5;

type Rank = { readonly group: number; readonly dueAt: number };

/** The order as it is defined, computed anew for each event. */
function computeRank(request: QueuedRequest, now: number): Rank {
  const { priority, targetAt, latestSendAt, expectedAttemptMs, isRetry } = request;
  if (isRetry) return { group: 0, dueAt: latestSendAt };
  const isLate = now + expectedAttemptMs * LATE_FACTOR > targetAt;
  const dueAt = (isLate ? latestSendAt : targetAt) + priority * PRIORITY_STEP_MS;
  return { group: isLate ? 2 : 1, dueAt };
}

function compareRanks(left: Rank, right: Rank): number {
  return left.group - right.group || left.dueAt - right.dueAt;
}

function listInOrder(entries: readonly QueuedRequest[], now: number): readonly string[] {
  return entries
    .map((entry) => ({ entry, rank: computeRank(entry, now) }))
    .sort((left, right) => compareRanks(left.rank, right.rank))
    .map(({ entry }) => entry.id);
}

function drawRequest(id: string, now: number, random: RandomSource): QueuedRequest {
  const draw = (values: readonly number[]): number =>
    values[Math.floor(random.next() * values.length)] ?? 0;
  const targetAt = now + draw([0, 200, 400, 800]);
  return {
    ...{ id, arrivedAt: now, targetAt, latestSendAt: targetAt + draw([50, 250, 900]) },
    ...{ priority: draw([0, 1, 2]), expectedAttemptMs: draw([40, 100]) },
    ...{ isRetry: random.next() < 0.1, isRepeatable: random.next() < 0.5 },
  };
}

describe('the order of a RequestQueue without accounts', () => {
  [1, 2, 3, 4].forEach((seed) =>
    it(`is that of a sort of all requests at each event, with seed ${seed}`, () => {
      const random = createRandom(seed);
      const queue = new RequestQueue<QueuedRequest>();
      let known: readonly QueuedRequest[] = [];
      let now = 0;
      Array.from({ length: 600 }, (_, index) => `q${index}`).forEach((id) => {
        now += Math.floor(random.next() * 20);
        const request = drawRequest(id, now, random);
        const rank = computeRank(request, now);
        const ahead = known.filter((one) => compareRanks(computeRank(one, now), rank) <= 0).length;
        expect(queue.countAhead(request, now)).to.equal(ahead);
        queue.add(request);
        known = [...known, request];
        const expected = listInOrder(known, now);
        expect(queue.list(now).map((entry) => entry.id)).to.deep.equal(expected);
        const next = queue.findNext(now, { wantsKind: () => true, wantsEntry: () => true });
        expect(next?.id).to.equal(expected[0]);
        const removed = random.next() < 0.5 ? expected[0] : expected.at(-1);
        if (removed !== undefined && random.next() < 0.6) {
          expect(queue.remove(removed)).to.equal(true);
          known = known.filter((one) => one.id !== removed);
        }
        const expired = known.filter(({ latestSendAt }) => latestSendAt <= now);
        expect(queue.takeExpired(now)).to.deep.equal(expired);
        known = known.filter((one) => !expired.includes(one));
        expect(queue.size).to.equal(known.length);
      });
    }),
  );

  it('skips what is not wanted, and finds the next one', () => {
    const random = createRandom(9);
    const queue = new RequestQueue<QueuedRequest>();
    const requests = Array.from({ length: 50 }, (_, index) => drawRequest(`q${index}`, 0, random));
    requests.forEach((request) => queue.add(request));
    const expected = listInOrder(
      requests.filter(({ isRetry, isRepeatable }) => !isRetry && isRepeatable === true),
      0,
    );
    const next = queue.findNext(0, {
      wantsKind: (isRepeatable, isRetry) => !isRetry && isRepeatable,
      wantsEntry: () => true,
    });
    expect(next?.id).to.equal(expected[0]);
  });
});

describe('the order of a RequestQueue with accounts', () => {
  it('follows the ranks as they change, and is that of a sort by rank within them', () => {
    const random = createRandom(12);
    const ranks = new Map<string, number>();
    const getRank = ({ accountName = '' }: QueuedRequest): number => ranks.get(accountName) ?? 0;
    const queue = new RequestQueue<QueuedRequest>(getRank);
    let known: readonly QueuedRequest[] = [];
    Array.from({ length: 200 }, (_, index) => index).forEach((index) => {
      const now = index * 60;
      const accountName = `a${Math.floor(random.next() * 5)}`;
      ranks.set(`a${Math.floor(random.next() * 5)}`, Math.floor(random.next() * 3));
      const times = { targetAt: now + 1000, latestSendAt: now + 90_000 };
      const request = { ...drawRequest(`q${index}`, now, random), accountName, ...times };
      queue.add(request);
      known = [...known, request];
      const retries = known.filter(({ isRetry }) => isRetry);
      const inRanks = [0, 1, 2].flatMap((rank) =>
        listInOrder(
          known.filter((one) => !one.isRetry && getRank(one) === rank),
          now,
        ),
      );
      expect(queue.list(now).map(({ id }) => id)).to.deep.equal([
        ...listInOrder(retries, now),
        ...inRanks,
      ]);
      if (random.next() < 0.5) {
        const [first] = queue.list(now);
        known = known.filter((one) => one !== first);
        expect(queue.remove(first?.id ?? '')).to.equal(true);
      }
    });
  });
});

describe('the cost of an event of a RequestQueue', () => {
  /** Counts how often the fields of queued requests are read in one event of each kind. */
  function countReads(size: number): number {
    let reads = 0;
    const random = createRandom(3);
    const queue = new RequestQueue<QueuedRequest>();
    const build = (id: string): QueuedRequest =>
      new Proxy(
        {
          ...drawRequest(id, 0, random),
          ...{ isRetry: false, targetAt: 5000, latestSendAt: 9000 },
          accountName: `a${Math.floor(random.next() * 40)}`,
        },
        {
          get: (target, name, receiver) => {
            reads += 1;
            return Reflect.get(target, name, receiver) as unknown;
          },
        },
      );
    Array.from({ length: size }, (_, index) => queue.add(build(`q${index}`)));
    reads = 0;
    const added = build('new');
    queue.countAhead(added, 10);
    queue.add(added);
    queue.findNext(10, { wantsKind: () => true, wantsEntry: () => true });
    queue.remove('new');
    queue.takeExpired(10);
    return reads;
  }

  it('is the same with a thousand requests as with fifty', () => {
    expect(countReads(1000)).to.be.at.most(countReads(50) * 1.2);
  });
});
