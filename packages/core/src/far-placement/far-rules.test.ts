import { expect } from 'chai';

import type { PlacementCandidate, PlacementRequest } from '../placement/index.js';
import { createRandom } from '../runtime/index.js';
import { computeAnswerValue } from './answer-value.js';
import { chooseWithFar } from './choose-with-far.js';
import { FarShare } from './far-share.js';
import { FleetLoads } from './fleet-loads.js';
import { SpareCapacity } from './spare-capacity.js';
import type { FarJudge, FarVerdict, ServiceView } from './types.js';

const DATA_CENTRES = ['a', 'b', 'c', 'd'];

function buildView(ownDataCentre: string, ownInFlight: number): ServiceView {
  return {
    at: 0,
    dataCentres: DATA_CENTRES.map((dataCentre) => ({
      dataCentre,
      slots: 100,
      coldShare: 0,
      ownInFlight: dataCentre === ownDataCentre ? ownInFlight : 0,
      hasDispatcher: true,
    })),
  };
}

describe('the share that may leave', () => {
  // Without the bounds, all requests would leave in one interval of reports and none in the next.
  it('changes by a bounded rate, in both directions', () => {
    const share = new FarShare(0.75, 0);
    const values = Array.from({ length: 60 }, (_, step) => {
      share.refresh(step < 30 ? 1 : 0, (step + 1) * 50);
      return share.value;
    });
    const changes = values.map((value, index) => value - (values[index - 1] ?? 0));
    expect(Math.max(...changes)).to.be.at.most(0.0501);
    expect(Math.min(...changes)).to.be.at.least(-0.0201);
    expect(Math.max(...values)).to.equal(0.75);
  });

  // A gain that fluctuates around 0 would let requests leave every other moment.
  it('starts only with a clear gain, and goes on with a smaller one', () => {
    const share = new FarShare(0.75, 0);
    share.refresh(0.03, 100);
    expect(share.value).to.equal(0);
    share.refresh(0.1, 200);
    share.refresh(0.03, 900);
    expect(share.value).to.be.above(0);
  });

  it('is spent request by request', () => {
    const share = new FarShare(0.5, 0);
    Array.from({ length: 10 }).forEach((_, step) => share.refresh(1, step * 200));
    const sent = Array.from({ length: 100 }).filter(() => {
      share.recordArrival();
      if (!share.hasCredit) return false;
      share.spend();
      return true;
    });
    expect(sent.length).to.equal(50);
  });
});

describe('the parts of a far data centre', () => {
  // All dispatchers see the same free slots 300 ms late; without parts each would take all of them.
  it('add up to what it can spare, over all dispatchers, also if they act at the same moment', () => {
    const demands = [130, 90, 70, 40];
    const quotas = ['a', 'b', 'c'].flatMap((own, row) =>
      [0, 1].map((index) => {
        const loads = new FleetLoads(own, 0);
        DATA_CENTRES.forEach((dataCentre, other) =>
          [0, 1].forEach((peer) => {
            if (dataCentre === own && peer === index) return;
            const inFlight = new Map([[dataCentre, (demands[other] ?? 0) / 2]]);
            loads.record({ dispatcherId: `${dataCentre}${peer}`, dataCentre, inFlight }, 0);
          }),
        );
        const view = buildView(own, (demands[row] ?? 0) / 2);
        const load = loads.describe('d', view, 0);
        const part = loads.computePart('d', view);
        return new SpareCapacity().refresh(100, load, { inFlight: 0, part }, 300, 0).quota;
      }),
    );
    const sum = quotas.reduce((total, quota) => total + quota, 0);
    // 40 of its 100 slots are in use, and 2.5 are its reserve.
    expect(sum).to.be.within(55, 57.5001);
    expect(quotas[0]).to.be.above((quotas[4] ?? 0) * 3);
  });

  // A data centre that had just enough slots was filled by others before its own rising wave.
  it('shrink while the own load of the data centre rises, and are none when it is full', () => {
    const spare = new SpareCapacity();
    const own = { inFlight: 0, part: 1 };
    const refresh = (native: number, at: number): ReturnType<SpareCapacity['refresh']> =>
      spare.refresh(100, { native, foreign: 0, confidence: 1 }, own, 300, at);
    refresh(40, 0);
    const rising = [50, 60, 70].map((native, index) => refresh(native, (index + 1) * 300));
    expect(rising[2]?.quota).to.be.below(100 - 70 - 6);
    expect(refresh(98, 1200).isOpen).to.equal(false);
    expect(refresh(95, 1500).isOpen).to.equal(false);
    expect(refresh(90, 3000).isOpen).to.equal(true);
  });

  it('rely less and less on a dispatcher whose reports stay away, but not on one that is idle', () => {
    const loads = new FleetLoads('a', 0);
    const view = buildView('a', 10);
    loads.record({ dispatcherId: 'b0', dataCentre: 'b', inFlight: new Map([['b', 9]]) }, 0);
    loads.record({ dispatcherId: 'c0', dataCentre: 'c', inFlight: new Map() }, 0);
    const list = (dataCentre: string): readonly number[] =>
      [500, 1500, 3000].map((now) => loads.describe(dataCentre, view, now).confidence);
    const [fresh = 0, older = 0, oldest = 0] = list('b');
    expect([fresh, older < fresh, oldest < older / 2]).to.deep.equal([1, true, true]);
    expect(list('c')).to.deep.equal([1, 1, 1]);
  });
});

describe('the value of an answer', () => {
  it('never rises with its latency, and is nothing after the deadline', () => {
    const values = Array.from({ length: 45 }, (_, index) =>
      computeAnswerValue(index * 100, { targetLeftMs: 1000, timeLeftMs: 4000 }),
    );
    expect(values).to.deep.equal([...values].sort((left, right) => right - left));
    expect([values[1], values[44]]).to.deep.equal([1, 0]);
    expect(computeAnswerValue(10, { targetLeftMs: -5, timeLeftMs: 100 })).to.be.below(0.4);
  });
});

describe('chooseWithFar', () => {
  const request: PlacementRequest = {
    isRepeatable: false,
    canTryAgain: true,
    mayTest: true,
    computeMaxFailureProbability: () => 0.5,
    dataCentre: 'a',
    bodyBytes: 0,
  };

  function choose(
    near: Partial<PlacementCandidate>,
    open: readonly string[],
    isFarPreferred = false,
  ): readonly unknown[] {
    const build = (id: string, changes: Partial<PlacementCandidate>): PlacementCandidate => ({
      id,
      dataCentre: 'a',
      slots: 4,
      inFlight: 0,
      failureProbability: 0.01,
      isSuspect: false,
      isTestDue: false,
      warmUpMs: 0,
      ...changes,
    });
    const rows = [build('near', near), build('far', { dataCentre: 'b' })];
    const verdict: FarVerdict = { open: new Set(open), reason: 'wait-saved', isFarPreferred };
    const far: FarJudge = {
      isNearSlow: () => false,
      judge: () => (open.length > 0 ? verdict : undefined),
      recordStay: () => undefined,
    };
    const choice = chooseWithFar(request, rows.slice(0, 1), () => rows, far, createRandom(1));
    return [choice?.upstreamId, choice?.reason, choice?.farReason];
  }

  it('sends a request to a data centre that is open for it, and to no other', () => {
    expect(choose({ inFlight: 4 }, ['b'])).to.deep.equal(['far', 'trusted', 'wait-saved']);
    expect(choose({ inFlight: 4 }, ['c'])).to.deep.equal([undefined, undefined, undefined]);
    expect(choose({ inFlight: 4 }, [])).to.deep.equal([undefined, undefined, undefined]);
  });

  it('keeps a request at a good near upstream, and leaves a cold one only if that is better', () => {
    expect(choose({}, ['b'])).to.deep.equal(['near', 'trusted', undefined]);
    expect(choose({ warmUpMs: 900 }, ['b'], true)).to.deep.equal(['far', 'trusted', 'wait-saved']);
    expect(choose({ warmUpMs: 900 }, [], true)).to.deep.equal(['near', 'trusted', undefined]);
  });

  // With closed data centres left out, a lone near suspect would count as the only choice there is.
  it('lets a request wait rather than sending it to a near suspect that is too risky', () => {
    const suspect = { isSuspect: true, failureProbability: 0.9 };
    expect(choose(suspect, [])).to.deep.equal([undefined, undefined, undefined]);
    expect(choose(suspect, ['b'])).to.deep.equal(['far', 'trusted', 'wait-saved']);
  });
});
