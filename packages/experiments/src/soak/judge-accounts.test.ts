/**
 * Guards against a soak that passes although keys leak, outlive their removal, or quotas are exceeded.
 */
import { expect } from 'chai';

import { FLOODING_ACCOUNT, FLOODING_QUOTA, REMOVED_ACCOUNT } from './accounts.js';
import { checkAccounts } from './judge-accounts.js';
import { groupRuns } from './judge-cuts.js';
import type { SeenRequest, SeenRun, SoakRecord } from './types.js';

type Row = {
  readonly account: string;
  readonly sentMs?: number;
  readonly status?: number;
  readonly run?: Partial<SeenRun>;
};

function judge(rows: readonly Row[]): readonly string[] {
  const requests = rows.map(
    ({ account, sentMs = 1000, status = 200 }, index) =>
      ({ id: `r-${index}`, account, sentMs, status }) as SeenRequest,
  );
  const runs = rows.flatMap(({ account, sentMs = 1000, run }, index) =>
    run ? [{ requestId: `r-${index}`, atMs: sentMs, account, ...run } as SeenRun] : [],
  );
  const record = { requests, runs, quotas: [FLOODING_QUOTA], keyRemovedMs: 4000 } as object;
  return checkAccounts(record as SoakRecord, groupRuns(runs)).map(({ promise }) => promise);
}

function buildFlood(count: number): readonly Row[] {
  return Array.from({ length: count }, (_, index) => ({
    account: FLOODING_ACCOUNT.name,
    sentMs: 2000 + index,
    run: {},
  }));
}

describe('the promises about client accounts', () => {
  it('hold for requests that run for their own account', () => {
    expect(judge([{ account: 'main', run: {} }, ...buildFlood(95)])).to.deep.equal([]);
  });

  it('are broken by a leaked key, another account, and a known key that is refused', () => {
    expect(judge([{ account: 'main', run: { hasCredentials: true } }])).to.deep.equal([
      'keys stay in the fleet',
    ]);
    expect(judge([{ account: 'main', run: { account: 'other' } }])).to.deep.equal(['own account']);
    expect(judge([{ account: 'main', status: 401 }])).to.deep.equal(['known keys are accepted']);
  });

  it('are broken by a removed key that is accepted after the bound, not before', () => {
    const account = REMOVED_ACCOUNT.name;
    expect(judge([{ account, sentMs: 8900, run: {} }])).to.deep.equal([]);
    expect(judge([{ account, sentMs: 9100, run: {} }])).to.deep.equal(['removed keys end in time']);
    expect(judge([{ account, sentMs: 9100, status: 401 }])).to.deep.equal([]);
  });

  it('are broken by more runs within a window than a quota allows', () => {
    expect(judge(buildFlood(96))).to.deep.equal(['quotas']);
  });
});
