import { expect } from 'chai';

import { createRandom, DEFAULT_LINK_ESTIMATOR_SETTINGS, FailureEstimator } from '@baobabline/core';
import type { Route, RoutingConfiguration } from '@baobabline/core';

import { HeldBytes } from '../held-bytes/index.js';
import {
  AttemptTimes,
  PeerLoads,
  RequestRun,
  ServiceScheduler,
  UpstreamState,
} from '../requests/index.js';
import type { RequestEnd } from '../requests/index.js';
import {
  buildAnswerEnd,
  buildRoutedRequest,
  buildUpstreamRecord,
  NO_CRASH_GUARD,
  PLAIN_DIALECT,
} from '../requests/request-fixtures.js';
import type { EndHandler, ExchangeRequest, UpstreamPool } from '../upstreams/index.js';
import { DownloadGate } from './download-gate.js';

const LINK_MEGABITS = 7;
const MAX_BYTES = 4_000_000;
const TIMES = { timeoutMs: 4000, targetLatencyMs: 2000 };

function buildConfiguration(kind: Route['kind']): RoutingConfiguration {
  const { route } = buildRoutedRequest('q', 0, kind);
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version: 1, limits, routes: [route] };
}

describe('downloads at a daemon', () => {
  let now = 0;
  const clock = { now: () => now };
  let heldBytes: HeldBytes;
  let gate: DownloadGate;
  let refusals: readonly string[] = [];
  let sent: readonly ExchangeRequest[] = [];
  let ends: readonly RequestEnd[] = [];
  let desk: ServiceScheduler;
  let runs: readonly RequestRun[] = [];
  let answer: ((end: Parameters<EndHandler>[0]) => void) | undefined;

  beforeEach(() => {
    now = 0;
    refusals = [];
    sent = [];
    ends = [];
    runs = [];
    heldBytes = new HeldBytes(MAX_BYTES, clock);
    gate = new DownloadGate({
      clock,
      machine: { cores: 0.27, linkMegabitsPerSecond: LINK_MEGABITS },
      heldBytes,
      onRefused: (cause) => {
        refusals = [...refusals, cause];
      },
    });
    gate.applyConfiguration(buildConfiguration('download'));
    const pool = {
      send: (request: ExchangeRequest, _isRepeatable: boolean, onEnd: EndHandler) => {
        sent = [...sent, request];
        answer = onEnd;
        return { abort: () => undefined };
      },
      drain: () => undefined,
    } as unknown as UpstreamPool;
    desk = new ServiceScheduler('s', {
      clock,
      random: createRandom(2),
      trust: new FailureEstimator(),
      links: new FailureEstimator(DEFAULT_LINK_ESTIMATOR_SETTINGS),
      peerLoads: new PeerLoads(clock),
      dataCentre: 'z1',
      hasDispatcher: () => true,
      allowance: { windowMs: 10_000, ratio: 0.2, fleetSlack: 9, getSlackShare: () => 1 },
      createUpstream: (record) => new UpstreamState(record, pool, 0),
      onAnswer: () => undefined,
      onTrustChange: () => undefined,
      onLinkChange: () => undefined,
      findOwnPart: () => undefined,
      boundsBodies: () => gate.isActive,
      isCutOff: () => false,
      onFailure: () => undefined,
      getRateLimitShare: () => 1,
      onRateLimitChange: () => undefined,
    });
    desk.applyRecords([buildUpstreamRecord('u', 4)]);
  });

  function start(kind: Route['kind'], bodyBytes = 0): RequestRun {
    const run = new RequestRun(
      { ...buildRoutedRequest('q', now, kind, TIMES), bodyBytes },
      desk,
      {
        clock,
        random: createRandom(3),
        dialect: PLAIN_DIALECT,
        times: new AttemptTimes(),
        crashGuard: NO_CRASH_GUARD,
        downloads: gate,
        onLoadChange: () => undefined,
        checkCaller: () => undefined,
        onBytes: () => undefined,
        onStep: () => undefined,
      },
      (end) => {
        ends = [...ends, end];
      },
    );
    run.start();
    runs = [...runs, run];
    return run;
  }

  afterEach(() => runs.forEach((run) => run.cancel()));

  function listRetryAfters(): readonly number[] {
    return ends.flatMap((end) =>
      end.kind === 'refused' ? [end.error.retryAfterSeconds ?? 0] : [],
    );
  }

  // The answer came after its caller had left, who sent the same request again.
  it('are refused as not run before they are sent, while other requests pass', () => {
    gate.recordSent(3_000_000);
    [start('download'), start('download')].forEach((run) => run.cancel());
    start('safe').cancel();
    expect([sent.length, refusals]).to.deep.equal([1, ['link', 'link']]);
    const [first = 0, second = 0] = listRetryAfters();
    expect(second).to.be.greaterThan(first);
    now += first * 1000;
    start('download').cancel();
    expect(sent).to.have.length(2);
    expect(heldBytes.acquire(2_900_000)).to.equal(true);
    start('download').cancel();
    expect([sent.length, refusals.at(-1)]).to.deep.equal([2, 'memory']);
  });

  it('have the expected size of their answers reserved, learned from those before', () => {
    const initial = gate.describe().linkBytes;
    const run = start('download');
    expect(sent[0]?.expectedBytes).to.be.greaterThan(100_000);
    expect(gate.describe().linkBytes).to.be.greaterThan(initial);
    const end = buildAnswerEnd(200);
    if (end.kind === 'answered') answer?.({ ...end, answer: { ...end.answer, bodyBytes: 5000 } });
    run.cancel();
    expect(gate.describe().linkBytes).to.equal(0);
    start('download').cancel();
    expect(sent[1]?.expectedBytes).to.equal(10_000);
  });

  it('count for more in the advertised load where the link is full first', () => {
    const record = (): void =>
      gate.recordAnswered(buildRoutedRequest('q', now, 'download'), 90_000);
    Array.from({ length: 200 }).forEach(record);
    expect(gate.computeRequestWeight()).to.be.greaterThan(2);
    gate.applyConfiguration(buildConfiguration('safe'));
    expect(gate.computeRequestWeight()).to.equal(1);
  });

  it('are unknown where no route is one: nothing is reserved, counted or bounded', () => {
    gate.applyConfiguration(buildConfiguration('safe'));
    gate.recordSent(9_000_000);
    expect([gate.isActive, gate.describe().linkBytes]).to.deep.equal([false, 0]);
    [1, 2, 3].forEach(() => start('unsafe', 3_000_000));
    expect(sent).to.have.length(3);
  });

  // Large bodies at one upstream exceeded its memory, and it crashed with all that it held.
  it('come with a bound on large bodies of requests, which holds up no small ones', () => {
    const first = start('unsafe', 3_000_000);
    start('unsafe', 3_000_000);
    start('unsafe', 1000);
    expect(sent).to.have.length(2);
    first.cancel();
    desk.queue.serve();
    expect(sent).to.have.length(3);
  });
});
