import { expect } from 'chai';

import { createRandom } from '../runtime/index.js';
import {
  AnswerSizes,
  judgeDownload,
  LARGE_BODY_BYTES,
  LinkSchedule,
  mayHoldBody,
} from './index.js';
import { simulateLink } from './simulated-link.js';
import type { LinkReplay } from './simulated-link.js';

const SEEDS = [1, 2, 3, 4, 5, 6];

function sumReplays(usualPerSecond: number, isJudged: boolean): LinkReplay {
  return SEEDS.map((seed) => simulateLink(usualPerSecond, isJudged, createRandom(seed))).reduce(
    (sum, row) => ({
      sent: sum.sent + row.sent,
      delivered: sum.delivered + row.delivered,
      refused: sum.refused + row.refused,
      returned: sum.returned + row.returned,
      returnedSent: sum.returnedSent + row.returnedSent,
    }),
  );
}

describe('downloads over a link of 7 Mbit/s at 2.5 times their usual rate for 6 s', () => {
  // Answers that the link could not pass on in time took a slot of an upstream and were asked for again.
  [6.5, 7.5, 8.5].forEach((usualPerSecond) => {
    it(`are refused before they are sent rather than delivered late, usually ${usualPerSecond}/s`, () => {
      const judged = sumReplays(usualPerSecond, true);
      const unjudged = sumReplays(usualPerSecond, false);
      expect(judged.delivered).to.be.at.least(unjudged.delivered);
      const lost = judged.sent - judged.delivered;
      expect(lost).to.be.lessThan((unjudged.sent - unjudged.delivered) * 0.7);
      // A caller that returns when it was told to is served more often than not.
      expect(judged.returnedSent).to.be.greaterThan(judged.returned / 2);
    });
  });
});

describe('a download that is expected to come late over an empty link', () => {
  // Once the expected size of a route was too large, all its requests were refused for ever.
  it('is sent while nothing as large is ahead of it', () => {
    const judge = (writtenBytes: number): string =>
      judgeDownload({
        size: { meanBytes: 2_000_000, highBytes: 4_000_000 },
        bytesPerMs: 800,
        writtenBytes,
        expectedBytes: 0,
        attemptMs: 260,
        timeLeftMs: 4278,
        missingBytes: 0,
      }).kind;
    expect([judge(10_000), judge(2_000_000)]).to.deep.equal(['send', 'refuse']);
  });
});

describe('the expected size of an answer', () => {
  // With the mean alone, several large answers that came in together exceeded the memory.
  it('is estimated by route, with an upper estimate that few answers exceed', () => {
    const random = createRandom(4);
    const sizes = new AnswerSizes();
    const draw = (): number => -Math.log(1 - random.next()) * 90_000;
    Array.from({ length: 300 }).forEach(() => sizes.record('r', draw()));
    const { meanBytes, highBytes } = sizes.getExpected('r');
    expect(meanBytes).to.be.within(60_000, 120_000);
    const above = Array.from({ length: 1000 }, draw).filter((bytes) => bytes > highBytes).length;
    expect(above).to.be.lessThan(200);
    sizes.keep(new Set());
    expect(sizes.getExpected('r')).to.deep.equal(sizes.getExpected('unknown'));
  });
});

describe('the schedule of a link', () => {
  it('counts answers until they have left, and sends callers away one after the other', () => {
    let now = 0;
    const link = new LinkSchedule(8, { now: () => now });
    const endExpected = link.expect(9000);
    link.recordWritten(90_000);
    now += 50;
    expect([link.writtenBytes, link.expectedBytes]).to.deep.equal([45_000, 9000]);
    endExpected();
    endExpected();
    now += 100;
    expect([link.writtenBytes, link.expectedBytes]).to.deep.equal([0, 0]);
    expect([0, 1, 2].map(() => link.recordPromise(90_000))).to.deep.equal([0, 100, 200]);
  });
});

describe('large bodies at one upstream', () => {
  // Four daemons that sent a body each filled an upstream that any one of them had spared.
  it('are bounded over the daemons that have reported their requests', () => {
    const slots = 4;
    const bodies = [5, 3.5, 3, 2.5, 2, 1.5].map((share) => share * LARGE_BODY_BYTES);
    const held: number[] = [];
    bodies.forEach((bodyBytes) => {
      const holding = { slots, ownLargeBytes: 0, peersInFlight: held.length };
      if (mayHoldBody(bodyBytes, holding)) held.push(bodyBytes);
    });
    expect(held.map((bytes) => bytes / LARGE_BODY_BYTES)).to.deep.equal([5, 3, 2]);
    const full = { slots, ownLargeBytes: 0, peersInFlight: 3 };
    expect(mayHoldBody(LARGE_BODY_BYTES, full)).to.equal(true);
    const own = { slots, ownLargeBytes: 3 * LARGE_BODY_BYTES, peersInFlight: 0 };
    expect(mayHoldBody(2 * LARGE_BODY_BYTES, own)).to.equal(false);
  });
});
