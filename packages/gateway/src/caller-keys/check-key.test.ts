/**
 * Guards against requests that run for the wrong client account, or without a key.
 */
import { RouteTable } from '@baobabline/core';
import type { Route, RoutingConfiguration } from '@baobabline/core';
import { expect } from 'chai';

import { checkKey, checkKeyAgain, computeKeyDigest, UNBOUNDED_KEY_VALIDITY } from './index.js';
import type { KeyValidity } from './index.js';

const KEY = '8wuakn2ftimaj3nr26tt';
const ROUTE: Route = {
  id: 'r',
  host: 'a.example',
  prefix: '/',
  kind: 'safe',
  parts: [{ service: 's', weight: 1 }],
  timeoutMs: 1000,
  targetLatencyMs: 500,
  maxAttempts: 2,
  priority: 0,
};

function buildTable(accounts?: RoutingConfiguration['accounts']): RouteTable {
  return new RouteTable({
    version: 1,
    routes: [ROUTE],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    ...(accounts ? { accounts } : {}),
  });
}

const TABLE = buildTable([
  { name: 'north', keyDigests: [computeKeyDigest(KEY)], burst: 0 },
  { name: 'south', keyDigests: [computeKeyDigest('other')], burst: 0 },
]);

const UNCERTAIN: KeyValidity = {
  mayAccept: () => false,
  mayReject: () => false,
  getRetryAfterMs: () => 300,
};

/** The account's name, or the status of the refusal. */
function judge(
  rawHeaders: readonly string[],
  { table = TABLE, route = ROUTE, validity = UNBOUNDED_KEY_VALIDITY } = {},
): string | number | undefined {
  const check = checkKey(rawHeaders, 'bearer', table, route, validity);
  return check.kind === 'allowed' ? check.caller?.account.name : check.error.result.status;
}

describe('checkKey', () => {
  it('finds the account of a key, however the header is written', () => {
    expect(judge(['Authorization', `Bearer ${KEY}`])).to.equal('north');
    expect(judge(['AUTHORIZATION', `bEARER   ${KEY} `])).to.equal('north');
    expect(judge(['authorization', 'Bearer other'])).to.equal('south');
  });

  it('refuses requests without a key, with an unknown one, or with several headers', () => {
    [
      [],
      ['Authorization', 'Bearer'],
      ['Authorization', KEY],
      ['Authorization', `Basic ${KEY}`],
      ['Authorization', `Bearer ${KEY.slice(0, -1)}`],
      ['Authorization', `Bearer ${KEY} ${KEY}`],
      ['Authorization', `Bearer ${KEY}, Bearer ${KEY}`],
      ['Authorization', `Bearer ${KEY}`, 'authorization', `Bearer ${KEY}`],
      ['X-Tenant-Id', 'north'],
    ].forEach((headers) => expect(judge(headers), headers.join('|')).to.equal(401));
  });

  it('lets requests without a key pass on public routes and where there are no accounts', () => {
    const route = { ...ROUTE, isPublic: true };
    expect(judge(['Authorization', 'Bearer unknown'], { route })).to.equal(undefined);
    expect(judge([], { table: buildTable() })).to.equal(undefined);
    expect(judge([], { table: buildTable([]) })).to.equal(401);
  });

  it('neither accepts nor rejects a key while the daemon cannot vouch for its keys', () => {
    const validity = UNCERTAIN;
    const headers = ['Authorization', `Bearer ${KEY}`];
    expect(judge(headers, { validity })).to.equal(503);
    expect(judge(['Authorization', 'Bearer unknown'], { validity })).to.equal(503);
    expect(judge(headers, { validity, route: { ...ROUTE, isPublic: true } })).to.equal(undefined);
  });

  it('refuses a waiting request whose key was removed or given to another account', () => {
    const check = checkKey(
      ['Authorization', `Bearer ${KEY}`],
      'bearer',
      TABLE,
      ROUTE,
      UNBOUNDED_KEY_VALIDITY,
    );
    const caller = check.kind === 'allowed' ? check.caller : undefined;
    const judgeAgain = (table: RouteTable, validity = UNBOUNDED_KEY_VALIDITY): number | undefined =>
      checkKeyAgain(caller, table, validity)?.result.status;
    expect(judgeAgain(TABLE)).to.equal(undefined);
    expect(judgeAgain(buildTable([]))).to.equal(401);
    const moved = [{ name: 'south', keyDigests: [computeKeyDigest(KEY)], burst: 0 }];
    expect(judgeAgain(buildTable(moved))).to.equal(401);
    expect(judgeAgain(TABLE, UNCERTAIN)).to.equal(503);
  });
});
