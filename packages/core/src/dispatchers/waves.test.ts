import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import { DemandTrend } from './demand-trend.js';
import { simulateWaves } from './simulated-waves.js';
import type { WaveEvent, WaveSample } from './simulated-waves.js';

const SEEDS = [1, 2];
const CALM_PER_SECOND = 159;
const BUSY_PER_SECOND = 254;
const STEP_SECONDS = 0.02;
/** Until loads have been advertised for the first time. */
const WARM_UP_MS = 8000;
const PEAK_MS = 21_240;
const TROUGH_MS = 12_000;

function runWaves(
  perSecond: number,
  events: readonly WaveEvent[],
  seed: number,
): readonly WaveSample[] {
  const settings = { perSecond, amplitude: 0.55, events, lengthMs: 60_000 };
  return simulateWaves(settings, createRandom(seed)).filter(
    ({ at, dataCentre }) => at >= WARM_UP_MS && dataCentre === 0,
  );
}

/** Seconds in which a request waited for more than 200 ms for a processor. */
function countLateSeconds(samples: readonly WaveSample[]): number {
  return samples.filter(({ longestWaitMs }) => longestWaitMs > 200).length * STEP_SECONDS;
}

function listCounts(samples: readonly WaveSample[]): readonly number[] {
  return samples.map(({ dispatchers }) => dispatchers);
}

describe('dispatchers in waves of demand', () => {
  it('stay the same where one large VM suffices', () => {
    const samples = runWaves(CALM_PER_SECOND, [], 1);
    expect([countLateSeconds(samples), new Set(listCounts(samples))]).to.deep.equal([
      0,
      new Set([1]),
    ]);
  });

  // Small VMs were chosen by the load of the moment, too few throughout a rise: 16 and 36 s were late.
  [PEAK_MS, TROUGH_MS].forEach((at) => {
    it(`are enough small ones when both large ones stop at ${at} ms`, () => {
      const event: WaveEvent = { at, dataCentre: 0, kind: 'large-stop' };
      const runs = SEEDS.map((seed) => runWaves(BUSY_PER_SECOND, [event], seed));
      const late = runs.reduce((sum, samples) => sum + countLateSeconds(samples), 0);
      expect(late).to.be.lessThan(10);
      expect(Math.max(...runs.flatMap(listCounts))).to.be.at.most(20);
    });
  });

  it('are not joined at once by many VMs that start together', () => {
    const stop: WaveEvent = { at: TROUGH_MS, dataCentre: 0, kind: 'large-stop' };
    const joins: WaveEvent = { at: 37_000, dataCentre: 0, kind: 'small-join', count: 38 };
    const alone = runWaves(BUSY_PER_SECOND, [stop], 1);
    const joined = runWaves(BUSY_PER_SECOND, [stop, joins], 1);
    expect(listCounts(joined)).to.deep.equal(listCounts(alone));
  });
});

describe('the trend of demand', () => {
  it('foresees a rise up to the recent peak, and neither a new peak nor one long past', () => {
    const trend = new DemandTrend();
    expect([0, 1000, 2000].map((now) => trend.record(now, now / 10))).to.deep.equal([0, 100, 200]);
    expect(trend.record(10_000, 60)).to.equal(60);
    expect(trend.record(11_500, 120)).to.equal(200);
    expect(trend.record(40_000, 60)).to.equal(60);
    expect(trend.record(41_000, 120)).to.equal(120);
  });
});
