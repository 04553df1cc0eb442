import { expect } from 'chai';
import { readFileSync } from 'node:fs';

import { buildProblem, createRefusal, listResultCodes, toRequestError } from './index.js';

const RESULTS_PAGE = new URL('../../../../docs/RESULTS.md', import.meta.url);
const ROW_PATTERN = /^\| (\d+) +\| `([a-z-]+)` +\| (\d+) +\| `(not-run|unknown)` +\| (.+)\|$/;

describe('result codes', () => {
  it('match the table in docs/RESULTS.md', () => {
    const rows = readFileSync(RESULTS_PAGE, 'utf8')
      .split('\n')
      .flatMap((line) => {
        const match = ROW_PATTERN.exec(line);
        return match
          ? [
              match
                .slice(1)
                .map((cell) => cell.trim())
                .join('|'),
            ]
          : [];
      });
    const codes = listResultCodes().map(({ code, name, status, outcome, title }) =>
      [code, name, status, outcome, title].join('|'),
    );
    expect(rows).to.deep.equal(codes);
  });

  it('have unique numbers and names', () => {
    const codes = listResultCodes();
    expect(new Set(codes.map(({ code }) => code)).size).to.equal(codes.length);
    expect(new Set(codes.map(({ name }) => name)).size).to.equal(codes.length);
  });

  it('have an unknown outcome for an unexpected error', () => {
    const { result } = toRequestError(new TypeError('boom'));
    expect(result.outcome).to.equal('unknown');
  });

  it('are included in problem details', () => {
    const problem = buildProblem(createRefusal('overPlanRate'), 'r-1');
    expect(problem).to.include({ status: 429, code: 200, outcome: 'not-run', requestId: 'r-1' });
  });
});
