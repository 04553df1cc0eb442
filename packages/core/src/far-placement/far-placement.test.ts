import { expect } from 'chai';

import { SimulatedDataCentres } from './simulated-data-centres.js';
import type {
  SimulatedUpstream,
  SimulationResult,
  SimulationSettings,
} from './simulated-data-centres.js';

const UPSTREAMS = 25;
const SLOTS = 4;
const ATTEMPT_MS = 270;
/** Requests per second that keep all slots of a data centre busy. */
const CAPACITY = (UPSTREAMS * SLOTS * 1000) / ATTEMPT_MS;
const FAULT_AT = 6000;
const FAULT_END = 14_000;

type Changes = (dataCentre: string, index: number) => Partial<SimulatedUpstream>;

function buildUpstreams(changes: Changes = () => ({})): readonly SimulatedUpstream[] {
  return ['a', 'b'].flatMap((dataCentre) =>
    Array.from({ length: UPSTREAMS }, (_, index) => ({
      id: `${dataCentre}-${index}`,
      dataCentre,
      computeSlowness: () => 1,
      ...changes(dataCentre, index),
    })),
  );
}

/** Changes the upstreams of one data centre during the fault. */
function buildSlowdown(isAffected: (index: number) => boolean, factor: number): Changes {
  return (dataCentre, index) =>
    dataCentre === 'a' && isAffected(index)
      ? { computeSlowness: (now) => (now >= FAULT_AT && now < FAULT_END ? factor : 1) }
      : {};
}

function computeWaveRate(dataCentre: string, now: number): number {
  const phase = dataCentre === 'a' ? 0 : Math.PI;
  return CAPACITY * 0.8 * (1 + 0.55 * Math.sin((2 * Math.PI * now) / 17_000 + phase));
}

/** Runs a case with the present rule, and with the decision. */
function compare(changes: Partial<SimulationSettings>): {
  readonly before: SimulationResult;
  readonly after: SimulationResult;
} {
  const run = (hasFarPlacement: boolean): SimulationResult =>
    new SimulatedDataCentres({
      seed: 1,
      hasFarPlacement,
      dataCentres: ['a', 'b'],
      dispatchersPerDataCentre: 2,
      upstreams: buildUpstreams(),
      slotsPerUpstream: SLOTS,
      attemptMs: ATTEMPT_MS,
      targetMs: 1049,
      timeoutMs: 4196,
      durationMs: 17_000,
      answerBytes: 1000,
      computeRate: computeWaveRate,
      ...changes,
    }).run();
  return { before: run(false), after: run(true) };
}

/** Share of the requests that were refused or failed. */
function computeLost({ arrived, refused, failed }: SimulationResult): number {
  return (refused + failed) / arrived;
}

function computeInTime({ arrived, inTime }: SimulationResult): number {
  return inTime / arrived;
}

function computeLeft({ arrived, left }: SimulationResult): number {
  return left / arrived;
}

describe('the decision about other data centres', function describeDecision() {
  this.timeout(20_000);

  // By the present rule twice as much left: what had no free near slot at its first moment.
  it('serves opposite waves as well as before, and sends far less away', () => {
    const { before, after } = compare({ durationMs: 34_000 });
    expect(computeInTime(after)).to.be.at.least(computeInTime(before));
    expect(computeLeft(after)).to.be.below(computeLeft(before) * 0.7);
    expect(after.shed).to.be.below(before.shed / 2);
  });

  // Two full data centres exchanged requests, each of which took a slot that the other one needed.
  it('keeps all requests at home when both are full or nearly full', () => {
    [1.15, 0.97].forEach((load) => {
      const { before, after } = compare({ computeRate: () => CAPACITY * load });
      expect(computeLeft(after)).to.be.below(0.005);
      expect(Math.max(...after.shares)).to.be.below(0.1);
      expect(after.refused).to.be.at.most(before.refused * 1.02 + 1);
      expect(computeLost(after)).to.be.at.most(computeLost(before) + 0.002);
    });
  });

  const faults: readonly (readonly [what: string, Changes, load: number, maxLeft: number])[] = [
    [
      'half of the near upstreams are down',
      buildSlowdown((index) => index % 2 === 1, Infinity),
      0.65,
      0.8,
    ],
    [
      'two of five near upstreams are twelve times slower',
      buildSlowdown((index) => index % 5 < 2, 12),
      0.7,
      0.9,
    ],
    [
      'all near upstreams are cold',
      (dataCentre) => (dataCentre === 'a' ? { startedAt: FAULT_AT } : {}),
      0.6,
      1.4,
    ],
    ['all near upstreams are down', buildSlowdown(() => true, Infinity), 0.45, 0.9],
  ];
  faults.forEach(([what, changes, load, maxLeft]) => {
    // A share that rises too late, or quotas that are too small, cost answers in these seconds.
    it(`loses no more than before when ${what}, and sends at most ${maxLeft} times as much away`, () => {
      const { before, after } = compare({
        upstreams: buildUpstreams(changes),
        computeRate: () => CAPACITY * load,
      });
      expect(computeLost(after)).to.be.at.most(computeLost(before) + 0.005);
      expect(computeLeft(after)).to.be.below(computeLeft(before) * maxLeft);
    });
  });

  // Reserves that are too large, and parts that nobody uses, cost answers where slots are short.
  it('uses what others can spare when the peaks need nearly all of it', () => {
    const { before, after } = compare({
      hasUpstreamQueues: true,
      computeRate: (dataCentre, now) => (computeWaveRate(dataCentre, now) * 0.9) / 0.8,
    });
    expect(computeLost(after)).to.be.at.most(computeLost(before) + 0.005);
    expect(computeLeft(after)).to.be.below(computeLeft(before));
  });

  // Without a near upstream nothing may hold requests back: neither the share nor late news.
  it('sends all requests away at once where there is no near upstream, also without news', () => {
    const { before, after } = compare({
      upstreams: buildUpstreams().filter(({ dataCentre }) => dataCentre === 'b'),
      computeRate: () => CAPACITY * 0.4,
      computeNewsDelayMs: (now) => (now > FAULT_AT ? Infinity : 0),
    });
    expect(computeLost(after)).to.be.at.most(computeLost(before) + 0.002);
    expect(after.leftBySecond.get('a')?.[0]).to.be.above(0.25 * CAPACITY);
  });

  // What was known before the link was cut would be taken for the present for ever.
  it('sends less away the longer no news comes, and as before when news is late', () => {
    const late = compare({ computeNewsDelayMs: () => 1000 }).after;
    const cut = compare({ computeNewsDelayMs: (now) => (now > 1000 ? Infinity : 0) }).after;
    expect(computeLost(late)).to.be.below(0.01);
    expect(computeLeft(cut)).to.be.below(computeLeft(late) * 0.8);
    expect(computeLeft(cut)).to.be.above(0);
  });

  // Traffic between data centres is billed by the byte: a download costs as much as a hundred others.
  it('sends requests with large answers away only if they would be refused', () => {
    const { after } = compare({ answerBytes: 90_000 });
    const reasons = [...after.reasons.keys()];
    expect(reasons).to.deep.equal(['refusal-avoided']);
    expect(computeLost(after)).to.be.below(0.01);
  });
});
