import { createRandom } from '@baobabline/core';
import { expect } from 'chai';

import { drawDisturbances, judgeSoak } from './index.js';
import type { SoakRecord } from './index.js';
import type { SeenRequest, SeenRun, Strike } from './types.js';

const REQUEST: SeenRequest = {
  id: 'r',
  daemon: 'vm-0',
  life: 1,
  method: 'POST',
  path: '/book/1',
  account: '',
  caller: 'plain',
  bodyBytes: 0,
  timeLimitMs: 2000,
  sentMs: 5000,
  wholeMs: 5000,
  endMs: 5050,
  status: 200,
  body: 'i-1 ran POST /book/1',
  signature: 'sig.r',
  isBehindLast: false,
  isReused: true,
};
const RUN: SeenRun = {
  requestId: 'r',
  instance: 'i-1',
  atMs: 5005,
  endMs: 5045,
  bodyBytes: 0,
  account: '',
  hasCredentials: false,
  fault: undefined,
};

const STOP: Strike = { daemon: 'vm-0', life: 1, atMs: 5010, endMs: 5010, kind: 'stop' };

const CALM: SoakRecord = {
  graceMs: 6000,
  routeTimeMs: 2500,
  disturbances: [],
  requests: [REQUEST],
  runs: [RUN],
  exits: [],
  versions: [],
  published: [],
  leavings: [],
  limits: [],
  quotas: [],
  keyRemovedMs: Number.POSITIVE_INFINITY,
  links: [],
  stalls: [],
  struck: [],
};

function listBroken(changes: Partial<SoakRecord>): readonly string[] {
  return judgeSoak({ ...CALM, ...changes }).map(({ promise }) => promise);
}

function buildRequest(changes: Partial<SeenRequest>): readonly SeenRequest[] {
  return [{ ...REQUEST, ...changes }];
}

describe('the judge of a soak', () => {
  it('finds nothing where all promises were kept', () => {
    expect(judgeSoak(CALM)).to.deep.equal([]);
  });

  it('finds an answer that is cut, or that belongs to another request', () => {
    expect(listBroken({ requests: buildRequest({ body: 'i-1 r' }) })).to.deep.equal([
      'own whole answer',
    ]);
    expect(listBroken({ requests: buildRequest({ signature: 'sig.other' }) })).to.deep.equal([
      'own whole answer',
    ]);
  });

  it('finds an upstream that is used again after a restore, unless its daemon was disturbed', () => {
    const restored: Partial<SoakRecord> = {
      leavings: [{ instance: 'i-1', atMs: 1000 }],
      disturbances: [{ kind: 'store-restored', startMs: 4000, endMs: 4500, target: 0 }],
    };
    expect(listBroken(restored)).to.deep.equal(['an upstream that left stays out after a restore']);
    const struck: readonly Strike[] = [{ ...STOP, atMs: 3000, endMs: 3000, kind: 'kill' }];
    expect(listBroken({ ...restored, struck })).to.deep.equal([]);
  });

  it('finds an upstream that got more than its rate limit allows, unless the daemon was disturbed', () => {
    const requests = Array.from({ length: 30 }, (_, index) => ({
      ...REQUEST,
      id: `r-${index}`,
      signature: `sig.r-${index}`,
      sentMs: 1000 + index * 300,
      endMs: 1050 + index * 300,
    }));
    const runs = requests.map(({ id, sentMs }) => ({ ...RUN, requestId: id, atMs: sentMs + 5 }));
    const limits = [{ instance: 'i-1', perSecond: 1, fromMs: 900, toMs: 20_000 }];
    expect(listBroken({ requests, runs, limits })).to.deep.equal(['rate limits of upstreams']);
    const higher = [{ instance: 'i-1', perSecond: 2, fromMs: 900, toMs: 20_000 }];
    expect(listBroken({ requests, runs, limits: higher })).to.deep.equal([]);
    const struck: readonly Strike[] = [{ ...STOP, atMs: 3000, endMs: 7000, kind: 'pause' }];
    expect(listBroken({ requests, runs, limits, struck })).to.deep.equal([]);
    const others = struck.map((strike) => ({ ...strike, daemon: 'vm-1' }));
    expect(listBroken({ requests, runs, limits, struck: others })).to.deep.equal([
      'rate limits of upstreams',
    ]);
  });

  it('finds what ran twice, and what ran though it was refused as not run', () => {
    expect(listBroken({ runs: [RUN, { ...RUN, instance: 'i-2' }] })).to.deep.equal([
      'at most once',
    ]);
    const refused = { status: 503, body: '', signature: '' };
    expect(listBroken({ requests: buildRequest(refused) })).to.deep.equal(['true refusals']);
    expect(listBroken({ requests: buildRequest(refused), runs: [] })).to.deep.equal([]);
  });

  it('finds runs that nobody asked for', () => {
    expect(listBroken({ runs: [RUN, { ...RUN, requestId: 'x' }] })).to.deep.equal([
      'nothing unasked',
    ]);
  });

  it('finds work at an upstream that had left', () => {
    const leavings = [{ instance: 'i-1', atMs: 2000 }];
    expect(listBroken({ leavings })).to.deep.equal(['no new work for who leaves']);
    expect(listBroken({ leavings: [{ instance: 'i-1', atMs: 4000 }] })).to.deep.equal([]);
  });

  it('finds a configuration that reverts, or comes too late', () => {
    const seen = { daemon: 'vm-0', life: 1, isThere: true };
    const versions = [
      { ...seen, atMs: 6000, endMs: 6010, version: 3 },
      { ...seen, atMs: 6500, endMs: 6510, version: 2 },
    ];
    expect(listBroken({ versions })).to.deep.equal(['configurations never revert']);
    const crossing = versions.map((one) => ({ ...one, endMs: 6600 }));
    expect(listBroken({ versions: crossing })).to.deep.equal([]);
    const published = [{ version: 3, atMs: 1000 }];
    const late = [{ ...seen, atMs: 3500, endMs: 3600, version: 3, isThere: false }];
    expect(listBroken({ versions: late, published })).to.deep.equal(['configurations in force']);
    const next = { version: 4, atMs: 3550 };
    expect(listBroken({ versions: late, published: [...published, next] })).to.deep.equal([]);
    const after = [...published, { ...next, atMs: 3650 }];
    expect(listBroken({ versions: late, published: after })).to.deep.equal([
      'configurations in force',
    ]);
  });

  it('finds a body that an upstream did not get whole', () => {
    expect(listBroken({ runs: [{ ...RUN, bodyBytes: 3 }] })).to.deep.equal(['own whole request']);
    const requests = buildRequest({ bodyBytes: 3 });
    expect(listBroken({ requests, runs: [{ ...RUN, bodyBytes: 3 }] })).to.deep.equal([]);
  });

  it('finds a process that fell by itself', () => {
    const exits = [{ daemon: 'vm-0', life: 1, atMs: 7000, code: 1, signal: null }];
    expect(listBroken({ exits })).to.deep.equal(['processes do not fall']);
  });

  it('is given the same disturbances for the same seed, and quiet time at both ends', () => {
    const draw = (): ReturnType<typeof drawDisturbances> =>
      drawDisturbances(createRandom(4), 30_000, { processes: 5, graceMs: 6000 });
    expect(draw()).to.deep.equal(draw());
    expect(draw().length).to.be.greaterThan(10);
    expect(draw().every(({ startMs, endMs }) => startMs > 2500 && endMs < 27_500)).to.equal(true);
  });

  it('finds a request that crashes upstreams on and on, and one that is taken for it', () => {
    const path = '/read/crash-1';
    const ids = Array.from({ length: 7 }, (_, index) => `c${index}`);
    const requests = ids.flatMap((id) => buildRequest({ id, path, status: 502, method: 'GET' }));
    const runs = ids.map((requestId, index) => ({
      ...RUN,
      requestId,
      atMs: index * 2000,
      endMs: index * 2000 + 40,
    }));
    const promise = 'few crashes by one request';
    expect(listBroken({ requests, runs })).to.deep.equal([]);
    const more = runs.map((run) => ({ ...run, atMs: run.atMs * 2, endMs: run.endMs * 2 }));
    expect(listBroken({ requests, runs: more })).to.deep.equal([promise]);
    const strikes = [{ ...STOP, kind: 'pause', atMs: 0, endMs: 60_000 } as const];
    expect(listBroken({ requests, runs: more, struck: strikes })).to.deep.equal([]);
    const heldBack = buildRequest({
      status: 503,
      signature: '',
      body: '260 bytes: {"type":"urn:baobabline:result:request-held-back","title":"',
    });
    expect(listBroken({ requests: heldBack, runs: [] })).to.deep.equal([
      'only crashing requests are held back',
    ]);
  });
});
