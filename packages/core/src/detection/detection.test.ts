import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import {
  chooseScoresToReport,
  computeThreshold,
  CrashReports,
  OutlierDetector,
  EvidencePool,
  judgeUpstream,
} from './index.js';
import type { Evidence } from './index.js';

const UPSTREAMS = ['a', 'b', 'c', 'd', 'e'];
const THRESHOLD = { pooled: 13, local: 13 };

/** Sends round-robin requests to a detector; a function gives the elapsed time of each. */
class DetectorDriver {
  readonly detector = new OutlierDetector();

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

function createTimeSource(seed: number): () => number {
  const random = createRandom(seed);
  return () => 30 + 40 * random.next();
}

describe('Detector', () => {
  it('accuses only the upstream that is five times as slow as the others', () => {
    const driver = new DetectorDriver();
    const draw = createTimeSource(1);
    driver.run(60, draw);
    driver.run(12, (id) => draw() * (id === 'a' ? 5 : 1));
    expect(driver.getScore('a')).to.be.above(13);
    expect(Math.max(...UPSTREAMS.slice(1).map((id) => driver.getScore(id)))).to.be.below(6);
  });

  it('accuses none when all upstreams slow down alike', () => {
    const driver = new DetectorDriver();
    const draw = createTimeSource(2);
    driver.run(60, draw);
    driver.run(40, () => draw() * 5);
    expect(Math.max(...UPSTREAMS.map((id) => driver.getScore(id)))).to.be.below(10);
  });

  it('detects a stall by the age of a pending request', () => {
    const driver = new DetectorDriver();
    driver.run(60, createTimeSource(3));
    driver.start('stalled', 'a', true);
    driver.now += 100;
    expect(driver.getScore('a')).to.be.below(6);
    driver.now += 900;
    expect(driver.getScore('a')).to.be.above(8);
  });

  it('suspects an upstream less when its pending request is on an old connection', () => {
    const driver = new DetectorDriver();
    driver.run(60, createTimeSource(4));
    driver.start('old', 'a', false);
    driver.start('new', 'b', true);
    driver.now += 1000;
    expect(driver.getScore('a')).to.be.below(driver.getScore('b'));
  });

  it('accuses an upstream that fails half of its requests', () => {
    const driver = new DetectorDriver();
    driver.run(60, createTimeSource(5));
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

  it('gives a score of 0 while it has seen too few requests', () => {
    const driver = new DetectorDriver();
    driver.run(3, (id) => (id === 'a' ? 5000 : 50));
    expect(driver.getScore('a')).to.equal(0);
  });
});

function createEvidence(reporterId: string, dataCentre: string, score: number): Evidence {
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
  it('gives a fleet-wide verdict when reporters in several data centres accuse', () => {
    const rows = [createEvidence('x', 'dc-1', 8), createEvidence('y', 'dc-2', 8)];
    expect(judgeUpstream('a', rows, 8, THRESHOLD).scope).to.equal('fleet');
  });

  it('gives at most a local verdict for a single accuser, however high its score', () => {
    const rows = [createEvidence('x', 'dc-1', 24), createEvidence('y', 'dc-2', 0)];
    expect(judgeUpstream('a', rows, 0, THRESHOLD).scope).to.equal('none');
    expect(judgeUpstream('a', rows, 24, THRESHOLD).scope).to.equal('local');
  });

  it('gives no verdict when all accusers are in one data centre and another still gets answers', () => {
    const rows = [
      createEvidence('x', 'dc-1', 9),
      createEvidence('y', 'dc-1', 9),
      createEvidence('z', 'dc-2', 0),
    ];
    expect(judgeUpstream('a', rows, 0, THRESHOLD).scope).to.equal('none');
  });

  it('raises the threshold with the weight of false ejections', () => {
    expect(computeThreshold(2, 1).pooled).to.be.below(computeThreshold(1, 4).pooled);
  });
});

describe('evidence', () => {
  it('is reported when it accuses an upstream or contradicts an accusation', () => {
    const scores = [
      { upstreamId: 'a', score: 5, answeredRecently: false },
      { upstreamId: 'b', score: 0, answeredRecently: true },
      { upstreamId: 'c', score: 0, answeredRecently: true },
    ];
    const reported = chooseScoresToReport(scores, new Set(['c'])).map(
      ({ upstreamId }) => upstreamId,
    );
    expect(reported).to.deep.equal(['a', 'c']);
  });

  it('expires when it is not reported again', () => {
    let now = 0;
    const pool = new EvidencePool({ now: () => now });
    pool.add([createEvidence('x', 'dc-1', 9)]);
    now = 1501;
    pool.runTick();
    expect(pool.listFor('s')).to.have.length(0);
  });
});

describe('CrashReports', () => {
  it('quarantine a request for 60 s after its second crash', () => {
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
