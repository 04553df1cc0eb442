import { expect } from 'chai';

import { judgeSoak } from './index.js';
import { countExcused } from './judge-cuts.js';
import type { SeenExit, SeenRequest, SeenRun, SoakRecord, Strike } from './types.js';

const STOP: Strike = { daemon: 'vm-0', life: 1, atMs: 5010, endMs: 5010, kind: 'stop' };
/** Cut in the middle of the work of its upstream. */
const CUT: SeenRequest = {
  id: 'r',
  daemon: 'vm-0',
  life: 1,
  caller: 'plain',
  account: '',
  method: 'POST',
  path: '/book/1',
  bodyBytes: 0,
  timeLimitMs: 2000,
  sentMs: 5100,
  wholeMs: 5100,
  endMs: 5500,
  status: 0,
  body: '',
  signature: '',
  isBehindLast: false,
  isReused: true,
};
const RUN: SeenRun = {
  requestId: 'r',
  instance: 'i-1',
  atMs: 5110,
  endMs: 5500,
  bodyBytes: 0,
  account: '',
  hasCredentials: false,
  fault: undefined,
};
const EXIT: SeenExit = { daemon: 'vm-0', life: 1, atMs: 9000, code: 0, signal: null };
const RECORD: SoakRecord = {
  graceMs: 6000,
  routeTimeMs: 2500,
  disturbances: [],
  requests: [CUT],
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
  struck: [STOP],
};
const BY_STOP = ['stops cut nothing'];

function listBroken(changes: Partial<SoakRecord>): readonly string[] {
  return judgeSoak({ ...RECORD, ...changes }).map(({ promise }) => promise);
}

/** What is found of the cut request with these differences. */
function judgeCut(
  request: Partial<SeenRequest>,
  run: Partial<SeenRun> | undefined,
  changes: Partial<SoakRecord> = {},
): readonly string[] {
  const runs = run ? [{ ...RUN, ...run }] : [];
  return listBroken({ requests: [{ ...CUT, ...request }], runs, ...changes });
}

/** What is found where the daemon stopped without a cut, and ended as given. */
function judgeExit(exit: Partial<SeenExit>, struck: readonly Strike[] = [STOP]): readonly string[] {
  const requests = [{ ...CUT, status: 503 }];
  return listBroken({ requests, runs: [], exits: [{ ...EXIT, ...exit }], struck });
}

describe('the judge of cut requests', () => {
  it('finds a request that ran and was cut in a planned stop', () => {
    expect(listBroken({})).to.deep.equal(BY_STOP);
    expect(
      judgeCut({ status: 200, body: 'i-1 ran POST /book/1', signature: 'sig.r' }, {}),
    ).to.deep.equal([]);
  });

  it('finds one that was cut without a stop, or in the next life of its daemon', () => {
    expect(listBroken({ struck: [] })).to.deep.equal(['nothing is cut']);
    expect(judgeCut({ life: 2 }, {})).to.deep.equal(['nothing is cut']);
  });

  it('excuses nothing by troubles of the store, by reloads and by further signals', () => {
    const disturbances = (
      ['store-down', 'store-slow', 'store-silent', 'history-lost'] as const
    ).map((kind) => ({ kind, startMs: 4000, endMs: 8000, target: 0 }));
    const struck = [STOP, ...(['reload', 'again'] as const).map((kind) => ({ ...STOP, kind }))];
    expect(listBroken({ disturbances, struck })).to.deep.equal(BY_STOP);
  });

  it('finds one that waited unanswered though it was sent whole, unless the close crossed it', () => {
    expect(judgeCut({}, undefined)).to.deep.equal(BY_STOP);
    expect(judgeCut({ endMs: 5250 }, undefined)).to.deep.equal([]);
    expect(judgeCut({ wholeMs: undefined }, undefined)).to.deep.equal([]);
  });

  it('waits longer where a connection was new, or where all was held up', () => {
    expect(judgeCut({ isReused: false }, undefined)).to.deep.equal([]);
    expect(judgeCut({ isReused: false, endMs: 6200 }, undefined)).to.deep.equal(BY_STOP);
    expect(judgeCut({ isReused: false }, {})).to.deep.equal(BY_STOP);
    const stalls = [{ fromMs: 5200, toMs: 5500 }];
    expect(judgeCut({}, undefined, { stalls })).to.deep.equal([]);
    expect(judgeCut({}, {}, { stalls })).to.deep.equal(BY_STOP);
    const pause: Strike = { ...STOP, kind: 'pause', atMs: 5200, endMs: 5450 };
    expect(judgeCut({}, undefined, { struck: [STOP, pause] })).to.deep.equal([]);
  });

  it('lets one pass that was not run behind an answer which announced the end, not one that ran', () => {
    expect(judgeCut({ isBehindLast: true }, undefined)).to.deep.equal([]);
    expect(judgeCut({ isBehindLast: true }, {})).to.deep.equal(BY_STOP);
  });

  it("finds a failure of the daemon's own in place of an answer, in a stop alone", () => {
    expect(judgeCut({ status: 502 }, {})).to.deep.equal(BY_STOP);
    expect(judgeCut({ status: 502 }, {}, { struck: [] })).to.deep.equal([]);
    expect(judgeCut({ status: 500, signature: 'sig.r' }, {})).to.deep.equal([]);
    expect(judgeCut({ status: 502 }, { fault: 'reset' })).to.deep.equal([]);
  });

  it('lets pass what the upstream broke off, not what another attempt would have answered', () => {
    expect(judgeCut({}, { fault: 'hang' })).to.deep.equal([]);
    expect(judgeCut({}, { fault: 'late-extra' })).to.deep.equal(BY_STOP);
    const safe = { ...CUT, method: 'GET', path: '/read/1' } as const;
    const runs = [
      { ...RUN, fault: 'reset' },
      { ...RUN, instance: 'i-2' },
    ];
    expect(listBroken({ requests: [safe], runs })).to.deep.equal(BY_STOP);
  });

  it('lets pass what met a disturbed link, at that upstream and at that time alone', () => {
    const link = { instance: 'i-1', kind: 'link-reset', fromMs: 5300, toMs: 5300 };
    expect(listBroken({ links: [link] })).to.deep.equal([]);
    const onItsWay = { ...link, fromMs: 5105, toMs: 5105 };
    expect(listBroken({ links: [onItsWay] })).to.deep.equal([]);
    expect(listBroken({ links: [{ ...link, instance: 'i-2' }] })).to.deep.equal(BY_STOP);
    expect(listBroken({ links: [{ ...link, fromMs: 4000, toMs: 5000 }] })).to.deep.equal(BY_STOP);
    expect(listBroken({ links: [{ ...link, kind: 'link-delay' }] })).to.deep.equal(BY_STOP);
  });

  it('lets pass what ended with the kill of that process, not what ended before', () => {
    const kill: Strike = { ...STOP, kind: 'kill', atMs: 5490, endMs: 5490 };
    expect(listBroken({ struck: [STOP, kill] })).to.deep.equal([]);
    expect(listBroken({ struck: [STOP, { ...kill, atMs: 5600 }] })).to.deep.equal(BY_STOP);
    expect(listBroken({ struck: [STOP, { ...kill, daemon: 'vm-1' }] })).to.deep.equal(BY_STOP);
    expect(listBroken({ struck: [STOP, { ...kill, life: 2 }] })).to.deep.equal(BY_STOP);
  });

  it('lets pass what reached its deadline or that of its route', () => {
    expect(judgeCut({ timeLimitMs: 400 }, {})).to.deep.equal([]);
    expect(judgeCut({ timeLimitMs: 500 }, {})).to.deep.equal(BY_STOP);
    expect(judgeCut({ endMs: 7600, timeLimitMs: 9000 }, {})).to.deep.equal([]);
  });

  it('lets pass what the upstream was at work on in the last sixth of the grace, if sent early', () => {
    const times = { sentMs: 8000, wholeMs: 8000, endMs: 10_020, timeLimitMs: 2500 };
    expect(judgeCut(times, { atMs: 8010, endMs: 10_020 })).to.deep.equal([]);
    expect(judgeCut({ ...times, endMs: 9900 }, { atMs: 8010, endMs: 9900 })).to.deep.equal(BY_STOP);
    expect(judgeCut({ ...times, sentMs: 8100 }, { atMs: 8110, endMs: 10_020 })).to.deep.equal(
      BY_STOP,
    );
  });

  it('adds the time that the daemon stood still to a deadline, and excuses nothing else by it', () => {
    const pause: Strike = { ...STOP, kind: 'pause', atMs: 5200, endMs: 5400 };
    expect(listBroken({ struck: [STOP, pause] })).to.deep.equal(BY_STOP);
    expect(judgeCut({ timeLimitMs: 600 }, {}, { struck: [STOP, pause] })).to.deep.equal([]);
    const earlier = { ...pause, atMs: 4500, endMs: 4700 };
    expect(judgeCut({ timeLimitMs: 600 }, {}, { struck: [STOP, earlier] })).to.deep.equal(BY_STOP);
  });

  it('counts what each excuse lets pass', () => {
    const kill: Strike = { ...STOP, kind: 'kill', atMs: 5490, endMs: 5490 };
    expect(countExcused({ ...RECORD, struck: [STOP, kill] })).to.deep.equal({
      'the daemon was killed': 1,
    });
    expect(countExcused(RECORD)).to.deep.equal({});
  });
});

describe('the judge of planned ends', () => {
  const badEnd = ['stops end well and in time'];

  it('finds a stop that ends with another code than 0, or by a signal', () => {
    expect(judgeExit({})).to.deep.equal([]);
    expect(judgeExit({ code: 1 })).to.deep.equal(badEnd);
    expect(judgeExit({ code: null, signal: 'SIGTERM' })).to.deep.equal(badEnd);
  });

  it('finds a stop that outlasts its grace, by more than the time that the daemon stood still', () => {
    expect(judgeExit({ atMs: 11_000 })).to.deep.equal([]);
    expect(judgeExit({ atMs: 11_400 })).to.deep.equal(badEnd);
    const pause: Strike = { ...STOP, kind: 'pause', atMs: 6000, endMs: 6400 };
    expect(judgeExit({ atMs: 11_400 }, [STOP, pause])).to.deep.equal([]);
    const late = { requests: [], runs: [], exits: [{ ...EXIT, atMs: 11_400 }] };
    expect(listBroken({ ...late, stalls: [{ fromMs: 11_000, toMs: 11_400 }] })).to.deep.equal([]);
    expect(listBroken({ ...late, stalls: [{ fromMs: 9000, toMs: 9200 }] })).to.deep.equal(badEnd);
    expect(listBroken({ ...late, stalls: [{ fromMs: 4000, toMs: 5000 }] })).to.deep.equal(badEnd);
  });

  it('finds a daemon that had to be killed at the end of its grace', () => {
    const struck: readonly Strike[] = [
      STOP,
      { ...STOP, kind: 'overdue', atMs: 12_500, endMs: 12_500 },
    ];
    expect(judgeExit({ atMs: 12_510, code: null, signal: 'SIGKILL' }, struck)).to.deep.equal(
      badEnd,
    );
  });

  it('lets a signal end a process that has accepted no connection yet', () => {
    const early = { life: 2, code: null, signal: 'SIGTERM' };
    expect(judgeExit(early, [{ ...STOP, life: 2 }])).to.deep.equal([]);
    expect(judgeExit({ ...early, life: 1 })).to.deep.equal(badEnd);
    expect(judgeExit(early, [])).to.deep.equal(['processes do not fall']);
  });

  it('finds a process that falls after a reload or a pause', () => {
    const struck: readonly Strike[] = [
      { ...STOP, kind: 'reload' },
      { ...STOP, kind: 'pause' },
    ];
    expect(judgeExit({ code: 1 }, struck)).to.deep.equal(['processes do not fall']);
  });
});
