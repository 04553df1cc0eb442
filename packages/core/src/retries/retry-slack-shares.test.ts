import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import { RetrySlackShares } from './index.js';

const WINDOW_MS = 10_000;
const TICK_MS = 200;
/** The longest time in which a change of the dispatchers reaches a daemon. */
const MAX_LAG_MS = 2600;
const DAEMONS = Array.from({ length: 40 }, (_, index) => `d${index}`);

type View = {
  readonly dispatchers: readonly { readonly id: string; readonly capacity: number }[];
  readonly visiblePart: number;
};

function buildView(ids: readonly string[], visiblePart: number): View {
  return { dispatchers: ids.map((id, index) => ({ id, capacity: 1 + (index % 3) })), visiblePart };
}

describe('RetrySlackShares', () => {
  let now = 0;
  const clock = { now: () => now };

  beforeEach(() => {
    now = 0;
  });

  function createShares(id: string, getView: () => View): RetrySlackShares {
    return new RetrySlackShares(id, {
      clock,
      windowMs: WINDOW_MS,
      listDispatchers: () => getView().dispatchers,
      getVisiblePart: () => getView().visiblePart,
      countDaemons: () => 64,
    });
  }

  function run(shares: readonly RetrySlackShares[], forMs: number): void {
    Array.from({ length: forMs / TICK_MS }).forEach(() => {
      now += TICK_MS;
      shares.forEach((one) => one.refresh());
    });
  }

  it('gives most of the slack to the dispatchers, by capacity, and a small part to all others', () => {
    const view = buildView(['d0', 'd1', 'd2'], 1);
    const shares = DAEMONS.map((id) => createShares(id, () => view));
    expect(shares[0]?.getShare()).to.equal(1 / 64);
    run(shares, 16_000);
    const parts = shares.map((one) => one.getShare());
    expect((parts[2] ?? 0) / (parts[0] ?? 1)).to.be.within(2.9, 3);
    expect(parts[3]).to.be.within(0.001, 0.0012);
    expect(parts.slice(0, 3).reduce((sum, part) => sum + part, 0)).to.be.greaterThan(0.8);
  });

  it('falls at once, and rises only after a whole window', () => {
    let view = buildView(['d0'], 1);
    const shares = createShares('d0', () => view);
    run([shares], 16_000);
    expect(shares.getShare()).to.be.greaterThan(0.8);
    view = buildView(['d0'], 0.5);
    expect(shares.getShare()).to.be.within(0.4, 0.41);
    view = buildView(['d0'], 1);
    run([shares], 12_800);
    expect(shares.getShare()).to.be.within(0.4, 0.41);
    run([shares], 600);
    expect(shares.getShare()).to.be.greaterThan(0.8);
  });

  it('never lets daemons use more than the slack in a window, through changes, partitions and restarts', () => {
    const random = createRandom(31);
    const chooseDispatchers = (among: readonly string[]): readonly string[] =>
      among.filter(() => random.next() < 0.3);
    // What has been decided for each half of the fleet, newest first; daemons see it late.
    const histories: { readonly at: number; readonly view: View }[][] = [[], []];
    const lags = DAEMONS.map(() => random.next() * MAX_LAG_MS);
    const getView = (index: number): View =>
      histories[index % 2]?.find(({ at }) => at <= now - (lags[index] ?? 0))?.view ??
      buildView([], 0);
    const startedAt = DAEMONS.map(() => 0);
    const create = (index: number): RetrySlackShares =>
      createShares(DAEMONS[index] ?? '', () => {
        const view = getView(index);
        return now < (startedAt[index] ?? 0) + 3000 ? { ...view, visiblePart: 0 } : view;
      });
    const shares = DAEMONS.map((_id, index) => create(index));
    // Every daemon uses all that its share allows, as early as it can.
    const uses: { readonly at: number; readonly daemon: string; readonly part: number }[] = [];
    let worst = 0;
    Array.from({ length: 1500 }, (_, tick) => tick).forEach((tick) => {
      now = tick * TICK_MS;
      if (tick % 15 === 0 && random.next() < 0.5) {
        const isSplit = random.next() < 0.4;
        const halves = [0, 1].map((half) => DAEMONS.filter((_id, index) => index % 2 === half));
        const common = chooseDispatchers(DAEMONS);
        histories.forEach((history, half) =>
          history.unshift({
            at: now,
            view: isSplit
              ? buildView(chooseDispatchers(halves[half] ?? []), 0.5)
              : buildView(common, 1),
          }),
        );
      }
      DAEMONS.forEach((id, index) => {
        if (random.next() < 0.002) {
          startedAt[index] = now;
          shares[index] = create(index);
        }
        const since = Math.max(now - WINDOW_MS, (startedAt[index] ?? 0) - 1);
        const used = uses
          .filter((use) => use.daemon === id && use.at > since)
          .reduce((sum, { part }) => sum + part, 0);
        const part = (shares[index]?.getShare() ?? 0) - used;
        if (part > 0) uses.push({ at: now, daemon: id, part });
      });
      const inWindow = uses.filter(({ at }) => at > now - WINDOW_MS);
      worst = Math.max(
        worst,
        inWindow.reduce((sum, { part }) => sum + part, 0),
      );
    });
    expect(worst).to.be.within(0.5, 1);
  });
});
