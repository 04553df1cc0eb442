import { expect } from 'chai';

import { computeExpectedFleetSize } from '../membership/index.js';
import { createRandom } from '../runtime/index.js';
import { SlidingWindowRetryBudget } from './index.js';

const WINDOW_MS = 10_000;
const SLACK = 56;
const RATIO = 0.2;

type Event = { readonly at: number; readonly isRetry: boolean };

/** Simulates daemons that try to retry every request; now and then a daemon restarts. */
function simulateShedding(
  daemonCount: number,
  seed: number,
  fleetSlack = SLACK,
  countDaemons = (): number => Math.max(64, daemonCount),
): readonly Event[] {
  const random = createRandom(seed);
  let now = 0;
  const clock = { now: () => now };
  const settings = {
    windowMs: WINDOW_MS,
    ratio: RATIO,
    fleetSlack,
    getSlackShare: () => 1 / countDaemons(),
  };
  const daemons = Array.from(
    { length: daemonCount },
    () => new SlidingWindowRetryBudget(settings, clock),
  );
  const events: Event[] = [];
  Array.from({ length: 12_000 }, (_, index) => index).forEach((index) => {
    now = index * 5;
    const at = Math.floor(random.next() * daemonCount);
    if (random.next() < 0.001) daemons[at] = new SlidingWindowRetryBudget(settings, clock);
    const daemon = daemons[at];
    daemon?.recordRequest();
    events.push({ at: now, isRetry: false });
    if (daemon?.takeRetry()) events.push({ at: now, isRetry: true });
  });
  return events;
}

/** Computes by how many retries the worst window exceeds the bound; negative if none does. */
function computeExcess(events: readonly Event[], fleetSlack = SLACK): number {
  const windowEnds = Array.from({ length: 100 }, (_, index) => index * 600);
  const countIn = (from: number, isRetry: boolean): number =>
    events.filter((row) => row.isRetry === isRetry && row.at > from && row.at <= from + WINDOW_MS)
      .length;
  const excesses = windowEnds.map((end) => {
    const from = end - WINDOW_MS;
    const requests = Math.max(
      countIn(from, false),
      countIn(from - WINDOW_MS / 2, false),
      countIn(from - WINDOW_MS, false),
    );
    return countIn(from, true) - (requests * RATIO + fleetSlack);
  });
  return Math.max(...excesses);
}

describe('SlidingWindowRetryBudget', () => {
  it('keeps the retries of all daemons within the bound when every request is refused', () => {
    const excesses = [1, 3, 36].map((count) => computeExcess(simulateShedding(count, 4)));
    expect(Math.max(...excesses)).to.be.at.most(0);
  });

  it('keeps the retries of hundreds of daemons within the bound', () => {
    const fleetSlack = 430;
    expect(computeExcess(simulateShedding(293, 4, fleetSlack), fleetSlack)).to.be.at.most(0);
  });

  it('keeps the bound if daemons know their own data centre and few of the others', () => {
    const fleetSlack = 430;
    const members = [59, 6, 6, 6, 6].flatMap((count, dataCentre) =>
      Array.from({ length: count }, () => ({ dataCentre: `z${dataCentre}` })),
    );
    const countDaemons = (): number => Math.max(64, computeExpectedFleetSize(members));
    const events = simulateShedding(293, 4, fleetSlack, countDaemons);
    expect(computeExcess(events, fleetSlack)).to.be.at.most(0);
  });

  it('grows with the accepted requests and frees used retries as the window slides', () => {
    let now = 0;
    const budget = new SlidingWindowRetryBudget(
      { windowMs: 1000, ratio: 0.5, fleetSlack: 0, getSlackShare: () => 1 },
      { now: () => now },
    );
    expect(budget.takeRetry()).to.equal(false);
    Array.from({ length: 10 }, () => budget.recordRequest());
    const taken = Array.from({ length: 10 }, () => budget.takeRetry()).filter(Boolean);
    expect(taken).to.have.length(4);
    expect(budget.getShareLeft()).to.be.lessThan(0.2);
    now = 1200;
    expect(budget.takeRetry()).to.equal(false);
    Array.from({ length: 10 }, () => budget.recordRequest());
    expect(budget.takeRetry()).to.equal(true);
  });

  it('keeps a part for urgent kinds, for requests shed once, and for accounts within their share', () => {
    const budget = new SlidingWindowRetryBudget(
      { windowMs: 1000, ratio: 1, fleetSlack: 0, getSlackShare: () => 1 },
      { now: () => 0 },
    );
    [0, 1].forEach((priority) => Array.from({ length: 50 }, () => budget.recordRequest(priority)));
    const first = { priority: 0, shedCount: 1 };
    const claims = [
      { ...first, priority: 1, shedCount: 2 },
      { ...first, priority: 1 },
      { ...first, isOverShare: true },
      first,
    ];
    const taken = claims.map(
      (claim) => Array.from({ length: 100 }, () => budget.takeRetry(claim)).filter(Boolean).length,
    );
    // Of 90 retries; each claim comes when the one before it gets no more.
    expect(taken).to.deep.equal([22, 23, 22, 23]);
  });
});
