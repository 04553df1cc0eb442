/**
 * Guards against callers that are told that a request has not run when it has: they send it once more,
 * and it runs twice. An upstream in trouble may run a request and answer it with any status.
 */
import { expect } from 'chai';

import { judgeAnswer } from './judge-answer.js';
import type { AnswerVerdict } from './judge-answer.js';

type Row = {
  readonly statuses: readonly number[];
  readonly isNotRun: boolean;
  readonly isSigned: boolean;
  readonly verdict: AnswerVerdict;
};

const BOTH = [true, false];
const PROMISES = [408, 421, 429, 503];

const ROWS: readonly Row[] = [
  ...BOTH.flatMap((isSigned): readonly Row[] => [
    { statuses: [429, 503], isNotRun: true, isSigned, verdict: 'shed' },
    { statuses: [200, 400, 408, 421, 500, 504], isNotRun: true, isSigned, verdict: 'leaving' },
    { statuses: PROMISES, isNotRun: false, isSigned, verdict: 'unknown' },
    { statuses: [301, 304, 307], isNotRun: false, isSigned, verdict: 'good' },
    { statuses: [400, 401, 403, 404, 409, 410, 425], isNotRun: false, isSigned, verdict: 'good' },
  ]),
  { statuses: [200, 201, 204, 206], isNotRun: false, isSigned: true, verdict: 'good' },
  { statuses: [200, 201, 204, 206], isNotRun: false, isSigned: false, verdict: 'unknown' },
  { statuses: [500, 502, 504, 599], isNotRun: false, isSigned: true, verdict: 'failed' },
  { statuses: [500, 502, 504, 599], isNotRun: false, isSigned: false, verdict: 'unknown' },
];

describe("the verdict on an upstream's answer", () => {
  ROWS.forEach(({ statuses, isNotRun, isSigned, verdict }) =>
    it(`is ${verdict} for ${statuses.join(', ')}, ${isNotRun ? '' : 'not '}stated as not run, ${isSigned ? '' : 'not '}signed`, () =>
      statuses.forEach((status) =>
        expect(judgeAnswer(status, { isNotRun, isSigned }), String(status)).to.equal(verdict),
      )),
  );

  it('never lets a promise pass that the upstream has not made', () => {
    Array.from({ length: 500 }, (_, index) => index + 100).forEach((status) =>
      BOTH.forEach((isSigned) => {
        const verdict = judgeAnswer(status, { isNotRun: false, isSigned });
        if (PROMISES.includes(status)) expect(verdict).to.equal('unknown');
      }),
    );
  });
});
