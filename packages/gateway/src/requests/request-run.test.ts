import { expect } from 'chai';
import { mock } from 'node:test';

import { createRandom, DEFAULT_LINK_ESTIMATOR_SETTINGS, FailureEstimator } from '@baobabline/core';
import type { Route } from '@baobabline/core';

import type { EndHandler, ExchangeEnd, ProbeHandler, UpstreamPool } from '../upstreams/index.js';
import { AttemptTimes } from './attempt-times.js';
import { PeerLoads } from './peer-loads.js';
import {
  buildAnswerEnd,
  buildRoutedRequest,
  buildUpstreamRecord,
  NO_CRASH_GUARD,
  PLAIN_DIALECT,
} from './request-fixtures.js';
import { RequestRun } from './request-run.js';
import { ServiceScheduler } from './service-scheduler.js';
import type { CrashGuard } from './crash-guard.js';
import type { RequestEnd } from './types.js';
import { UpstreamState } from './upstream-state.js';

const SHED = buildAnswerEnd(503, { isNotRun: true, isSigned: false });
const LOST: ExchangeEnd = { kind: 'lost', reason: 'reset' };
const UNSENT: ExchangeEnd = { kind: 'unsent', reason: 'refused' };

type Reaction = ExchangeEnd | 'hang';

const STEP_MS = 5;

describe('a request under way', () => {
  let sent: string[] = [];
  let aborted: string[] = [];
  let probed: string[] = [];
  let drained: string[] = [];
  let closed: string[] = [];
  let reactions: Record<string, Reaction>;
  let desk: ServiceScheduler;
  let ends: RequestEnd[] = [];
  let now = 0;
  let count = 0;
  let guard: CrashGuard;
  let isCutOff: boolean;
  const clock = { now: () => now };

  /** Lets simulated time pass, in small steps, with all that happens in it. */
  async function wait(ms: number): Promise<void> {
    if (ms <= 0) return;
    now += STEP_MS;
    mock.timers.tick(STEP_MS);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    await wait(ms - STEP_MS);
  }

  /** A pool that ends each exchange as the test says for its upstream. */
  function createPool(id: string): UpstreamPool {
    return {
      send: (_request: unknown, _isRepeatable: boolean, onEnd: EndHandler) => {
        sent = [...sent, id];
        const reaction = reactions[id] ?? 'hang';
        if (reaction !== 'hang') setImmediate(() => onEnd(reaction));
        return {
          abort: () => {
            aborted = [...aborted, id];
          },
        };
      },
      close: () => {
        closed = [...closed, id];
      },
      closeIdle: () => undefined,
      drain: () => {
        drained = [...drained, id];
      },
      probe: (onEnd: ProbeHandler) => {
        probed = [...probed, id];
        onEnd(reactions[id] !== UNSENT);
      },
      runTick: () => undefined,
    } as unknown as UpstreamPool;
  }

  function createDesk(fleetSlack: number): ServiceScheduler {
    return new ServiceScheduler('s', {
      clock,
      random: createRandom(2),
      trust: new FailureEstimator(),
      links: new FailureEstimator(DEFAULT_LINK_ESTIMATOR_SETTINGS),
      peerLoads: new PeerLoads(clock),
      dataCentre: 'z1',
      hasDispatcher: () => true,
      allowance: { windowMs: 10_000, ratio: 0.2, fleetSlack, getSlackShare: () => 1 },
      findOwnPart: () => undefined,
      createUpstream: (record) => new UpstreamState(record, createPool(record.id), 0),
      onAnswer: () => undefined,
      onTrustChange: () => undefined,
      onLinkChange: () => undefined,
      isCutOff: () => isCutOff,
      onFailure: () => undefined,
      getRateLimitShare: () => 1,
      onRateLimitChange: () => undefined,
    });
  }

  afterEach(() => mock.timers.reset());

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
    sent = [];
    aborted = [];
    probed = [];
    drained = [];
    closed = [];
    ends = [];
    reactions = {};
    guard = NO_CRASH_GUARD;
    isCutOff = false;
    desk = createDesk(100);
    desk.applyRecords([
      buildUpstreamRecord('u1'),
      buildUpstreamRecord('u2'),
      buildUpstreamRecord('u3'),
    ]);
  });

  function start(
    kind: Route['kind'],
    changes: Partial<Route> = {},
    id: string | undefined = undefined,
  ): RequestRun {
    count += 1;
    const request = buildRoutedRequest(id ?? `req-${count}`, now, kind, changes);
    const run = new RequestRun(
      request,
      desk,
      {
        clock,
        random: createRandom(3),
        dialect: PLAIN_DIALECT,
        times: new AttemptTimes(),
        crashGuard: guard,
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
    return run;
  }

  function setAll(reaction: Reaction): void {
    reactions = { u1: reaction, u2: reaction, u3: reaction };
  }

  function describeEnd(): string {
    const [end] = ends;
    if (!end) return 'open';
    if (end.kind === 'answered') return `answered ${end.answer.status}`;
    return `${end.error.result.status} ${end.error.result.outcome}`;
  }

  it('is sent once, whatever comes, where it may not run twice', async () => {
    setAll(LOST);
    start('unsafe');
    await wait(20);
    expect([sent.length, describeEnd()]).to.deep.equal([1, '502 unknown']);
  });

  it("passes on an upstream's own failure as it came, and repeats it only where it is safe", async () => {
    setAll(buildAnswerEnd(500));
    start('upload');
    await wait(20);
    expect([sent.length, describeEnd()]).to.deep.equal([1, 'answered 500']);
    ends = [];
    start('safe');
    await wait(20);
    expect([sent.length, describeEnd()]).to.deep.equal([3, 'answered 500']);
  });

  it('never passes on as not run what an upstream does not state so', async () => {
    setAll(buildAnswerEnd(503));
    start('unsafe');
    await wait(20);
    expect(describeEnd()).to.equal('502 unknown');
  });

  // Bookings ran twice: callers took a 429 of an upstream that had run them for a promise.
  [408, 421, 429].forEach((status) =>
    (['unsafe', 'upload'] as const).forEach((kind) =>
      it(`is not answered ${status} where it may have run (${kind})`, async () => {
        setAll(buildAnswerEnd(status));
        start(kind);
        await wait(20);
        expect([sent.length, describeEnd()]).to.deep.equal([1, '502 unknown']);
        const [end] = ends;
        expect(end?.kind === 'refused' && end.error.result.name).to.equal('not-run-unstated');
      }),
    ),
  );

  it('is tried again after an answer that does not show whether it ran, where it is safe', async () => {
    reactions = { u1: buildAnswerEnd(429), u2: buildAnswerEnd(408), u3: buildAnswerEnd(200) };
    start('safe', { maxAttempts: 3 });
    await wait(20);
    expect(describeEnd()).to.equal('answered 200');
  });

  it('ejects an upstream that goes on to answer so, and none whose callers are at fault', async () => {
    // Each upstream has one slot, so that three requests at a time go to all of them.
    const run = async (): Promise<void> => {
      [1, 2, 3].forEach(() => start('unsafe'));
      await wait(20);
    };
    reactions = { u1: buildAnswerEnd(404), u2: buildAnswerEnd(409), u3: buildAnswerEnd(429) };
    await Array.from({ length: 10 }).reduce(async (before: Promise<void>) => {
      await before;
      await run();
    }, Promise.resolve());
    expect(desk.describe().upstreams).to.include({ trusted: 2, suspect: 1 });
    sent = [];
    start('unsafe');
    await wait(20);
    expect(sent).not.to.deep.equal(['u3']);
  });

  it('goes elsewhere on proof, within attempts and allowance, and then says not-run', async () => {
    setAll(SHED);
    start('unsafe');
    await wait(20);
    expect([sent.length, new Set(sent).size]).to.deep.equal([2, 2]);
    expect(describeEnd()).to.equal('503 not-run');
    sent = [];
    ends = [];
    desk = createDesk(0);
    desk.applyRecords([buildUpstreamRecord('u1'), buildUpstreamRecord('u2')]);
    start('unsafe');
    await wait(20);
    expect([sent.length, describeEnd()]).to.deep.equal([1, '503 not-run']);
  });

  // Failures reached the callers of repeatable requests while urgent requests left their retries unused.
  it('gets a retry in normal operation although most requests are more urgent', async () => {
    desk = createDesk(2);
    desk.applyRecords(['u1', 'u2', 'u3'].map((id) => buildUpstreamRecord(id)));
    Array.from({ length: 8 }).forEach(() =>
      desk.queue.recordArrival(buildRoutedRequest('urgent', now, 'unsafe', { priority: 0 })),
    );
    setAll(buildAnswerEnd(500));
    start('safe', { priority: 2 });
    await wait(20);
    expect(sent).to.have.length(2);
  });

  it('is sent no more often than its route allows while all shed, and refused at once without budget', async () => {
    setAll(SHED);
    desk = createDesk(1.2);
    desk.applyRecords(['u1', 'u2', 'u3'].map((id) => buildUpstreamRecord(id)));
    start('unsafe', { timeoutMs: 2000 });
    await wait(50);
    expect([sent.length, describeEnd()]).to.deep.equal([2, '503 not-run']);
    ends = [];
    start('unsafe', { timeoutMs: 2000 });
    await wait(50);
    expect([sent.length, describeEnd()]).to.deep.equal([3, '503 not-run']);
    expect(desk.queue.size).to.equal(0);
  });

  it('pays nothing for an upstream that could not be reached', async () => {
    desk = createDesk(0);
    desk.applyRecords([
      buildUpstreamRecord('u1'),
      buildUpstreamRecord('u2'),
      buildUpstreamRecord('u3'),
    ]);
    reactions = { u1: UNSENT, u2: UNSENT, u3: buildAnswerEnd(200) };
    start('unsafe');
    await wait(400);
    expect(describeEnd()).to.equal('answered 200');
  });

  it('finds out by connections, not by requests, whether an upstream can be reached again', async () => {
    reactions = { u1: UNSENT, u2: buildAnswerEnd(200), u3: buildAnswerEnd(200) };
    Array.from({ length: 6 }).forEach(() => start('unsafe'));
    await wait(50);
    expect(sent.filter((id) => id === 'u1')).to.have.length(1);
    const runTicks = async (rounds: number): Promise<void> => {
      desk.runTick();
      await wait(200);
      if (rounds > 1) await runTicks(rounds - 1);
    };
    await runTicks(5);
    start('safe');
    await wait(50);
    expect(sent.filter((id) => id === 'u1')).to.have.length(1);
    expect(new Set(probed)).to.deep.equal(new Set(['u1']));
    reactions = { ...reactions, u1: buildAnswerEnd(200) };
    await runTicks(8);
    Array.from({ length: 3 }).forEach(() => start('unsafe'));
    await wait(50);
    expect(sent.filter((id) => id === 'u1')).to.have.length(2);
  });

  it('claims nothing once one attempt may have run, even if the next states that it did not', async () => {
    const order = [LOST, SHED];
    const next = (): Reaction => order.shift() ?? 'hang';
    reactions = Object.defineProperties(
      {},
      {
        u1: { get: next },
        u2: { get: next },
        u3: { get: next },
      },
    );
    start('safe');
    await wait(20);
    expect([sent.length, describeEnd()]).to.deep.equal([2, '502 unknown']);
  });

  it("ends at its route's timeout at once, and its work is given up", async () => {
    setAll('hang');
    start('unsafe');
    await wait(200);
    expect(describeEnd()).to.equal('open');
    await wait(100);
    expect(describeEnd()).to.equal('504 unknown');
    expect(aborted).to.deep.equal(sent);
  });

  it('is hedged once where it is safe and hangs', async () => {
    setAll('hang');
    start('safe', { timeoutMs: 1000 });
    await wait(450);
    expect([sent.length, new Set(sent).size]).to.deep.equal([2, 2]);
    start('unsafe', { timeoutMs: 400 });
    await wait(450);
    expect(sent).to.have.length(3);
  });

  it('stops its work when its caller leaves, and reports no end', async () => {
    setAll('hang');
    const run = start('safe');
    run.cancel();
    await wait(20);
    expect([aborted, describeEnd()]).to.deep.equal([sent, 'open']);
    expect(desk.listUpstreams().every(({ inFlight }) => inFlight === 0)).to.equal(true);
  });

  it('says that it may have run when the daemon stops with it at an upstream, and not-run otherwise', async () => {
    setAll('hang');
    const open = [1, 2, 3].map(() => start('unsafe', { timeoutMs: 5000 }));
    const waiting = start('unsafe', { timeoutMs: 600 });
    await wait(20);
    expect(open.map(({ isAtUpstream }) => isAtUpstream)).to.deep.equal([true, true, true]);
    expect([waiting.isAtUpstream, ends.length]).to.deep.equal([false, 0]);
    waiting.failAsStopping();
    expect(describeEnd()).to.equal('503 not-run');
    ends = [];
    open.forEach((run) => run.failAsStopping());
    expect(describeEnd()).to.equal('504 unknown');
    expect(aborted).to.deep.equal(sent);
  });

  it('waits for room, takes it as it comes, and is refused as not run when its time is over', async () => {
    setAll('hang');
    const holders = ['safe', 'safe', 'safe'].map(() => start('unsafe', { timeoutMs: 5000 }));
    start('unsafe', { timeoutMs: 600 });
    await wait(20);
    expect(sent).to.have.length(3);
    holders[0]?.cancel();
    await wait(40);
    expect(sent).to.have.length(4);
    ends = [];
    start('unsafe', { timeoutMs: 400 });
    await wait(500);
    const [end] = ends.filter(({ kind }) => kind === 'refused');
    expect(end?.kind === 'refused' && end.error.result.outcome).to.equal('not-run');
    expect(end?.kind === 'refused' && end.error.retryAfterSeconds).to.be.greaterThan(0);
    holders.forEach((holder) => holder.cancel());
  });

  it('waits on when another one with its id, or with none as well, leaves the queue', async () => {
    setAll('hang');
    const holders = [1, 2, 3].map(() => start('unsafe', { timeoutMs: 5000 }));
    const [first] = [1, 2, 3].map(() => start('unsafe', { timeoutMs: 900 }, 'none'));
    expect(desk.queue.size).to.equal(3);
    first?.cancel();
    expect(desk.queue.size).to.equal(2);
    holders.forEach((holder) => holder.cancel());
    await wait(40);
    expect([sent.length, desk.queue.size]).to.deep.equal([5, 0]);
  });

  it('goes to an upstream that has started again, whatever befell its earlier start', async () => {
    const startedAgain = { ...buildUpstreamRecord('u1'), bornAt: 2 };
    desk.applyRecords([buildUpstreamRecord('u1')]);
    reactions = { u1: LOST };
    start('unsafe');
    await wait(10);
    reactions = { u1: UNSENT };
    start('unsafe');
    await wait(10);
    expect(desk.describe().upstreams.trusted).to.equal(0);
    reactions = { u1: buildAnswerEnd(200) };
    desk.applyRecords([startedAgain]);
    expect(desk.describe().upstreams.trusted).to.equal(1);
  });

  it('is refused at once as not run at a daemon that has lost its links, and is not held', async () => {
    setAll(UNSENT);
    Array.from({ length: 4 }).forEach(() => start('unsafe'));
    await wait(20);
    sent = [];
    ends = [];
    isCutOff = true;
    start('unsafe');
    expect([sent, describeEnd()]).to.deep.equal([[], '503 not-run']);
    const [end] = ends;
    expect(end?.kind === 'refused' && end.error.result.name).to.equal('no-upstream');
  });

  it('still uses the upstreams that a daemon reaches which has lost most of its links', async () => {
    reactions = { u1: UNSENT, u2: UNSENT, u3: buildAnswerEnd(200) };
    Array.from({ length: 4 }).forEach(() => start('unsafe'));
    await wait(100);
    sent = [];
    ends = [];
    isCutOff = true;
    start('unsafe');
    await wait(10);
    expect([sent, describeEnd()]).to.deep.equal([['u3'], 'answered 200']);
  });

  describe('at a service of which an upstream states that it leaves', () => {
    const WITHDRAWN: ExchangeEnd = { kind: 'withdrawn', reason: 'the upstream leaves' };

    /** Starts a request whose connection is being opened, with no retry budget; returns its withdrawal. */
    function startUnwritten(): () => void {
      desk = createDesk(0);
      desk.applyRecords([buildUpstreamRecord('u1')]);
      let onEnd: EndHandler | undefined;
      desk.find('u1')!.pool.send = (_request, _isRepeatable, handler) => {
        onEnd = handler;
        return { abort: () => undefined } as ReturnType<UpstreamPool['send']>;
      };
      start('unsafe');
      return () => onEnd?.(WITHDRAWN);
    }

    function recordLeaving(...ids: readonly string[]): void {
      ids.forEach((id) => desk.find(id)?.recordLeaving());
    }

    it('is not placed, retried, hedged or queued for there, and its record does not lift this', async () => {
      recordLeaving('u1');
      setAll('hang');
      ['safe', 'unsafe'].forEach((kind) => start(kind as Route['kind'], { timeoutMs: 5000 }));
      start('safe', { timeoutMs: 5000 });
      await wait(20);
      expect(new Set(sent)).to.deep.equal(new Set(['u2', 'u3']));
      expect(desk.queue.size).to.equal(1);
      desk.applyRecords(['u1', 'u2', 'u3'].map((id) => buildUpstreamRecord(id)));
      await wait(800);
      setAll(SHED);
      start('unsafe', { maxAttempts: 3 });
      await wait(50);
      expect(sent.filter((id) => id === 'u1')).to.deep.equal([]);
    });

    it('is not sent there as a test of an upstream that has failed', async () => {
      setAll(buildAnswerEnd(500));
      Array.from({ length: 6 }).forEach(() => start('safe'));
      await wait(100);
      recordLeaving('u1');
      sent = [];
      const sendTests = async (rounds: number): Promise<void> => {
        start('safe');
        await wait(100);
        if (rounds > 1) await sendTests(rounds - 1);
      };
      await sendTests(60);
      expect(new Set(sent)).to.deep.equal(new Set(['u2', 'u3']));
    });

    it('goes elsewhere at no cost where it was not written yet, and blames no link', async () => {
      const withdraw = startUnwritten();
      desk.applyRecords([buildUpstreamRecord('u1'), buildUpstreamRecord('u2')]);
      reactions = { u2: buildAnswerEnd(200) };
      recordLeaving('u1');
      withdraw();
      await wait(20);
      expect([sent, drained, describeEnd()]).to.deep.equal([['u2'], ['u1'], 'answered 200']);
      expect(desk.describe().upstreams).to.include({ leaving: 1, unreachable: 0 });
    });

    it('does not blame the link to the next start for what was withdrawn from the one before', async () => {
      const withdraw = startUnwritten();
      desk.applyRecords([{ ...buildUpstreamRecord('u1'), bornAt: 2 }, buildUpstreamRecord('u2')]);
      reactions = { u2: buildAnswerEnd(200) };
      withdraw();
      await wait(20);
      expect([sent, describeEnd()]).to.deep.equal([['u2'], 'answered 200']);
      expect(desk.describe().upstreams).to.include({ trusted: 2, unreachable: 0 });
    });

    it('runs on there, and gets the answer', async () => {
      reactions = { u1: buildAnswerEnd(200), u2: buildAnswerEnd(200), u3: buildAnswerEnd(200) };
      start('unsafe');
      recordLeaving('u1', 'u2', 'u3');
      await wait(20);
      expect(describeEnd()).to.equal('answered 200');
    });

    it('is withdrawn there where it is not written yet, whether by its record or by its removal', () => {
      const records = ['u1', 'u2', 'u3'].map((id) => buildUpstreamRecord(id));
      desk.applyRecords(records.map((one, at) => (at > 0 ? one : { ...one, state: 'draining' })));
      expect(drained).to.deep.equal(['u1']);
      desk.applyRecords(records.slice(0, 2));
      expect(closed).to.deep.equal(['u3']);
    });

    it('is refused at once as not run where all of them leave', () => {
      recordLeaving('u1', 'u2', 'u3');
      start('safe');
      expect([sent, describeEnd()]).to.deep.equal([[], '503 not-run']);
      const [end] = ends;
      expect(end?.kind === 'refused' && end.error.retryAfterSeconds).to.be.greaterThan(0);
    });

    it('counts its slots as those of a draining record', () => {
      const describe = (): unknown =>
        desk.queue.describeState({
          id: 'q',
          arrivedAt: now,
          targetAt: now + 100,
          latestSendAt: now + 200,
          expectedAttemptMs: 50,
          priority: 0,
          isRetry: false,
        });
      const records = ['u1', 'u2', 'u3'].map((id) => buildUpstreamRecord(id));
      recordLeaving('u1');
      const stated = describe();
      desk = createDesk(100);
      desk.applyRecords(records.map((one, at) => (at > 0 ? one : { ...one, state: 'draining' })));
      expect(describe()).to.deep.equal(stated);
      expect(stated).to.include({ slots: 2 });
    });
  });

  describe('that may crash upstreams', () => {
    const QUARANTINED: CrashGuard = {
      ...NO_CRASH_GUARD,
      judge: () => ({ kind: 'refused', retryAfterMs: 45_000 }),
      isSuspect: () => true,
    };

    it('is refused at once as not run while it is quarantined, with the time of its return', async () => {
      guard = QUARANTINED;
      setAll(buildAnswerEnd(200));
      start('unsafe');
      expect([sent, describeEnd()]).to.deep.equal([[], '503 not-run']);
      const [end] = ends;
      expect(end?.kind === 'refused' && end.error.retryAfterSeconds).to.equal(45);
    });

    it('is never said to be not run once an attempt may have run', async () => {
      setAll(LOST);
      guard = {
        ...NO_CRASH_GUARD,
        isSuspect: () => true,
        judge: () => (sent.length > 0 ? QUARANTINED.judge('') : { kind: 'allowed' }),
        recordLoss: (_lost, onDone) => setTimeout(onDone, 40),
      };
      start('safe', { maxAttempts: 3 });
      await wait(100);
      expect([sent.length, describeEnd()]).to.deep.equal([1, '502 unknown']);
    });

    it('waits with its retry for the verdict on its last upstream if another one ended with it', async () => {
      setAll(LOST);
      guard = {
        ...NO_CRASH_GUARD,
        isSuspect: () => true,
        recordLoss: (_lost, onDone) => setTimeout(onDone, 60),
      };
      start('safe');
      await wait(50);
      expect(sent).to.have.length(1);
      await wait(30);
      expect(sent).to.have.length(2);
    });

    it('is retried at once where no upstream ended with it before', async () => {
      setAll(LOST);
      guard = { ...NO_CRASH_GUARD, recordLoss: () => undefined };
      start('safe');
      await wait(10);
      expect(sent).to.have.length(2);
    });

    it('is not hedged while an upstream that ended with it speaks against it', async () => {
      setAll('hang');
      guard = { ...NO_CRASH_GUARD, isSuspect: () => true };
      start('safe', { timeoutMs: 1000 });
      await wait(900);
      expect(sent).to.have.length(1);
    });

    it('leaves the queue when it is quarantined while it waits', async () => {
      setAll('hang');
      let isQuarantined = false;
      guard = {
        ...NO_CRASH_GUARD,
        judge: () => (isQuarantined ? QUARANTINED.judge('') : { kind: 'allowed' }),
      };
      const holders = [1, 2, 3].map(() => start('unsafe', { timeoutMs: 5000 }));
      start('unsafe', { timeoutMs: 5000 });
      expect(desk.queue.size).to.equal(1);
      isQuarantined = true;
      holders[0]?.cancel();
      await wait(40);
      expect([sent.length, desk.queue.size, describeEnd()]).to.deep.equal([3, 0, '503 not-run']);
      holders.forEach((holder) => holder.cancel());
    });

    it('is recorded as a trial only once it is sent', async () => {
      setAll('hang');
      const trials: string[] = [];
      const holders = [1, 2, 3].map(() => start('unsafe', { timeoutMs: 5000 }));
      guard = {
        ...NO_CRASH_GUARD,
        judge: () => ({ kind: trials.length === 0 ? 'trial' : 'allowed' }),
        recordTrial: (fingerprint) => trials.push(fingerprint),
      };
      start('unsafe', { timeoutMs: 5000 });
      expect(trials).to.deep.equal([]);
      holders[0]?.cancel();
      await wait(40);
      expect([sent.length, trials.length]).to.deep.equal([4, 1]);
      holders.forEach((holder) => holder.cancel());
    });

    it('tells of its success only with an answer that its upstream has signed', async () => {
      const successes: string[] = [];
      guard = { ...NO_CRASH_GUARD, recordSuccess: (fingerprint) => successes.push(fingerprint) };
      setAll(buildAnswerEnd(404, { isSigned: false }));
      start('safe');
      await wait(10);
      expect(successes).to.have.length(0);
      setAll(buildAnswerEnd(200));
      start('safe');
      await wait(10);
      expect(successes).to.have.length(1);
    });
  });

  it('is not passed on when its time is over before its turn on the connection comes', async () => {
    start('unsafe', { timeoutMs: -1 });
    await wait(20);
    expect([sent, describeEnd()]).to.deep.equal([[], '503 not-run']);
  });

  it('does not end at once where its time limit is longer than a timer can wait', async () => {
    start('safe', { timeoutMs: 2 ** 31 });
    await wait(10);
    expect(describeEnd()).to.equal('open');
  });
});
