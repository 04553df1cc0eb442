import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import {
  chooseEvidenceToTell,
  computeThreshold,
  CrashReports,
  Detector,
  EvidencePool,
  judgeUpstream,
} from './index.js';
import type { Evidence } from './index.js';

const UPSTREAMS = ['a', 'b', 'c', 'd', 'e'];
const THRESHOLD = { pooled: 13, local: 13 };

/** Drives a detector with round-robin requests whose times a function gives. */
class DetectorDriver {
  readonly detector = new Detector();

  now = 0;

  #count = 0;

  run(rounds: number, getElapsedMs: (upstreamId: string) => number): void {
    Array.from({ length: rounds }).forEach(() =>
      UPSTREAMS.forEach((id) => this.#runOne(id, getElapsedMs(id))),
    );
  }

  getScore(upstreamId: string): number {
    const rows = this.detector.computeScores(this.now);
    return rows.find((row) => row.upstreamId === upstreamId)?.score ?? 0;
  }

  start(id: string, upstreamId: string, freshConnection: boolean): void {
    const startedAt = this.now;
    this.detector.recordStart({ id, upstreamId, kind: 'read', startedAt, freshConnection });
  }

  #runOne(upstreamId: string, elapsedMs: number): void {
    this.#count += 1;
    const id = String(this.#count);
    this.start(id, upstreamId, false);
    this.detector.recordEnd(id, 'completed', this.now + elapsedMs);
    this.now += 5;
  }
}

function drawTimes(seed: number): () => number {
  const random = createRandom(seed);
  return () => 30 + 40 * random.next();
}

describe('Detector', () => {
  it('accuses an upstream that is five times as slow as the others, and no other', () => {
    const driver = new DetectorDriver();
    const draw = drawTimes(1);
    driver.run(60, draw);
    driver.run(12, (id) => draw() * (id === 'a' ? 5 : 1));
    expect(driver.getScore('a')).to.be.above(13);
    expect(Math.max(...UPSTREAMS.slice(1).map((id) => driver.getScore(id)))).to.be.below(6);
  });

  it('accuses none in a wave that slows all alike', () => {
    const driver = new DetectorDriver();
    const draw = drawTimes(2);
    driver.run(60, draw);
    driver.run(40, () => draw() * 5);
    expect(Math.max(...UPSTREAMS.map((id) => driver.getScore(id)))).to.be.below(10);
  });

  it('sees a stall by the age of what has not come back', () => {
    const driver = new DetectorDriver();
    driver.run(60, drawTimes(3));
    driver.start('stalled', 'a', true);
    driver.now += 100;
    expect(driver.getScore('a')).to.be.below(6);
    driver.now += 900;
    expect(driver.getScore('a')).to.be.above(8);
  });

  it('blames an old connection before the upstream', () => {
    const driver = new DetectorDriver();
    driver.run(60, drawTimes(4));
    driver.start('old', 'a', false);
    driver.start('new', 'b', true);
    driver.now += 1000;
    expect(driver.getScore('a')).to.be.below(driver.getScore('b'));
  });

  it('accuses an upstream that fails half of its requests', () => {
    const driver = new DetectorDriver();
    driver.run(60, drawTimes(5));
    Array.from({ length: 12 }, (_, index) => {
      driver.start(`f-${index}`, 'a', false);
      driver.detector.recordEnd(
        `f-${index}`,
        index % 2 === 0 ? 'failed' : 'completed',
        driver.now + 50,
      );
      return index;
    });
    expect(driver.getScore('a')).to.be.above(13);
  });

  it('says nothing while it has seen too little', () => {
    const driver = new DetectorDriver();
    driver.run(3, (id) => (id === 'a' ? 5000 : 50));
    expect(driver.getScore('a')).to.equal(0);
  });
});

function report(reporterId: string, dataCentre: string, score: number): Evidence {
  return {
    id: `${reporterId}|a`,
    service: 's',
    reporterId,
    reporterDataCentre: dataCentre,
    upstreamId: 'a',
    score,
    answeredRecently: score === 0,
  };
}

describe('judgeUpstream', () => {
  it('ejects for all what reporters in several data centres accuse', () => {
    const rows = [report('x', 'dc-1', 8), report('y', 'dc-2', 8)];
    expect(judgeUpstream('a', rows, 8, THRESHOLD).scope).to.equal('fleet');
  });

  it('takes one accuser for a bad link, however sure it is', () => {
    const rows = [report('x', 'dc-1', 24), report('y', 'dc-2', 0)];
    expect(judgeUpstream('a', rows, 0, THRESHOLD).scope).to.equal('none');
    expect(judgeUpstream('a', rows, 24, THRESHOLD).scope).to.equal('local');
  });

  it('takes accusers of one data centre for bad links where another data centre is served', () => {
    const rows = [report('x', 'dc-1', 9), report('y', 'dc-1', 9), report('z', 'dc-2', 0)];
    expect(judgeUpstream('a', rows, 0, THRESHOLD).scope).to.equal('none');
  });

  it('asks for more evidence the more a false ejection weighs', () => {
    expect(computeThreshold(2, 1).pooled).to.be.below(computeThreshold(1, 4).pooled);
  });
});

describe('evidence', () => {
  it('is told where it accuses, and where it contradicts an accusation', () => {
    const scores = [
      { upstreamId: 'a', score: 5, answeredRecently: false },
      { upstreamId: 'b', score: 0, answeredRecently: true },
      { upstreamId: 'c', score: 0, answeredRecently: true },
    ];
    const told = chooseEvidenceToTell(scores, new Set(['c'])).map(({ upstreamId }) => upstreamId);
    expect(told).to.deep.equal(['a', 'c']);
  });

  it('lapses when it is not told again', () => {
    let now = 0;
    const pool = new EvidencePool({ now: () => now });
    pool.add([report('x', 'dc-1', 9)]);
    now = 1501;
    pool.runTick();
    expect(pool.listFor('s')).to.have.length(0);
  });
});

describe('CrashReports', () => {
  it('quarantine a request at its second crash, for a while', () => {
    let now = 0;
    const reports = new CrashReports({ now: () => now });
    reports.add([{ id: '1', fingerprint: 'f', upstreamId: 'a' }]);
    reports.add([{ id: '1', fingerprint: 'f', upstreamId: 'a' }]);
    expect(reports.isQuarantined('f')).to.equal(false);
    reports.add([{ id: '2', fingerprint: 'f', upstreamId: 'b' }]);
    expect(reports.isQuarantined('f')).to.equal(true);
    now = 60_001;
    reports.runTick();
    expect(reports.isQuarantined('f')).to.equal(false);
  });
});
