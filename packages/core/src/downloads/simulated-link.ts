/**
 * A VM of 7 Mbit/s that downloads pass through, for replays: connections share the link evenly, in each
 * direction, and a caller leaves when its time is over.
 */
import type { RandomSource } from '../runtime/index.js';
import { AnswerSizes } from './answer-sizes.js';
import { judgeDownload } from './judge-download.js';
import { LinkSchedule } from './link-schedule.js';

type Transfer = {
  readonly arrivedAt: number;
  readonly sentAt: number;
  readonly size: number;
  readonly workUntil: number;
  inLeft: number;
  outLeft: number;
  readonly endExpected: () => void;
};

export type LinkReplay = {
  readonly sent: number;
  readonly delivered: number;
  readonly refused: number;
  /** Callers that came back when they were told to, and how many of them were sent then. */
  readonly returned: number;
  readonly returnedSent: number;
};

const STEP_MS = 5;
const LINK_MEGABITS = 7;
const BYTES_PER_MS = LINK_MEGABITS * 125;
const MEAN_BYTES = 90_000;
const MAX_BYTES = 540_000;
const WORK_MS = 160;
const TIME_ALLOWED_MS = 4278;
const ROUTE = 'r';

/** Plays Poisson arrivals at `usualPerSecond`, and 2.5 times as many from second 10 to 16. */
export function simulateLink(
  usualPerSecond: number,
  isJudged: boolean,
  random: RandomSource,
): LinkReplay {
  let now = 0;
  const link = new LinkSchedule(LINK_MEGABITS, { now: () => now });
  const sizes = new AnswerSizes();
  let attemptMs = 300;
  let transfers: readonly Transfer[] = [];
  let returns: readonly number[] = [];
  const counts = { sent: 0, delivered: 0, refused: 0, returned: 0, returnedSent: 0 };
  const arrive = (isReturn: boolean): void => {
    if (isReturn) counts.returned += 1;
    const size = sizes.getExpected(ROUTE);
    const verdict = judgeDownload({
      size,
      bytesPerMs: link.bytesPerMs,
      writtenBytes: link.writtenBytes,
      expectedBytes: link.expectedBytes,
      attemptMs,
      timeLeftMs: TIME_ALLOWED_MS,
      missingBytes: 0,
    });
    if (isJudged && verdict.kind === 'refuse') {
      counts.refused += 1;
      const returnAt = now + verdict.retryAfterMs + link.recordPromise(size.meanBytes);
      if (!isReturn) returns = [...returns, returnAt];
      return;
    }
    counts.sent += 1;
    if (isReturn) counts.returnedSent += 1;
    const drawn = Math.min(MAX_BYTES, -Math.log(1 - random.next()) * MEAN_BYTES);
    const transfer: Transfer = {
      arrivedAt: now,
      sentAt: now,
      size: drawn,
      workUntil: now + WORK_MS,
      inLeft: drawn,
      outLeft: drawn,
      endExpected: link.expect(size.meanBytes),
    };
    transfers = [...transfers, transfer];
  };
  const pass = (): void => {
    const coming = transfers.filter(({ workUntil, inLeft }) => workUntil <= now && inLeft > 0);
    const leaving = transfers.filter(({ inLeft }) => inLeft <= 0);
    coming.forEach((one) => {
      Object.assign(one, { inLeft: one.inLeft - (BYTES_PER_MS * STEP_MS) / coming.length });
      if (one.inLeft > 0) return;
      one.endExpected();
      link.recordWritten(one.size);
      sizes.record(ROUTE, one.size);
      attemptMs += (now - one.sentAt - attemptMs) * 0.05;
    });
    leaving.forEach((one) => {
      const passed = Math.min(one.outLeft, (BYTES_PER_MS * STEP_MS) / leaving.length);
      Object.assign(one, { outLeft: one.outLeft - passed });
    });
    counts.delivered += leaving.filter(({ outLeft }) => outLeft <= 0).length;
    transfers = transfers.filter(({ outLeft }) => outLeft > 0);
    const gone = transfers.filter(({ arrivedAt }) => now - arrivedAt > TIME_ALLOWED_MS);
    gone.forEach((one) => one.endExpected());
    transfers = transfers.filter((one) => !gone.includes(one));
  };
  Array.from({ length: 25_000 / STEP_MS }, (_, step) => step * STEP_MS).forEach((at) => {
    now = at;
    const factor = at >= 10_000 && at < 16_000 ? 2.5 : 1;
    if (random.next() < (usualPerSecond * factor * STEP_MS) / 1000) arrive(false);
    const due = returns.filter((returnAt) => returnAt <= now);
    returns = returns.filter((returnAt) => returnAt > now);
    due.forEach(() => arrive(true));
    pass();
  });
  return counts;
}
