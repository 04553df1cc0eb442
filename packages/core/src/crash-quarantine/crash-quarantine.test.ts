import { expect } from 'chai';

import { CrashQuarantine } from './index.js';
import type { QuarantineChange } from './index.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

describe('the quarantine of requests that crash upstreams', () => {
  let now = 0;
  let isOwnTurn: boolean;
  let changes: QuarantineChange[];
  let quarantine: CrashQuarantine;

  function createQuarantine(): CrashQuarantine {
    return new CrashQuarantine({
      clock: { now: () => now },
      mayTry: () => isOwnTurn,
      onChange: (change) => changes.push(change),
    });
  }

  beforeEach(() => {
    now = 1_000_000;
    isOwnTurn = true;
    changes = [];
    quarantine = createQuarantine();
  });

  /** Lets upstreams crash with requests in flight, one after the other. */
  function recordCrashes(count: number, fingerprints: readonly string[], gapMs = 1000): void {
    Array.from({ length: count }).forEach(() => {
      now += gapMs;
      quarantine.recordCrash(now, fingerprints, 0);
    });
  }

  it('holds after two crashes without a success, and not after one', () => {
    recordCrashes(1, ['a']);
    expect(quarantine.judge('a').kind).to.equal('allowed');
    recordCrashes(1, ['a']);
    expect(quarantine.judge('a').kind).to.equal('refused');
    expect(changes.map(({ change }) => change)).to.deep.equal(['quarantined']);
  });

  it('does not hold for a request that succeeded in between, or was in flight at its own success', () => {
    recordCrashes(1, ['a']);
    now += 100;
    quarantine.recordSuccess('a');
    recordCrashes(1, ['a']);
    expect(quarantine.judge('a').kind).to.equal('allowed');
  });

  it('does not hold for a hot request that is in flight wherever upstreams crash together', () => {
    quarantine.recordSuccess('hot');
    recordCrashes(5, ['hot'], 50);
    expect(quarantine.judge('hot').kind).to.equal('allowed');
    now += 100;
    quarantine.recordSuccess('hot');
    recordCrashes(5, ['hot'], 50);
    expect(quarantine.judge('hot').kind).to.equal('allowed');
  });

  it('holds for a request that was proper before it began to crash upstreams', () => {
    quarantine.recordSuccess('a');
    recordCrashes(3, ['a']);
    expect(quarantine.judge('a').kind).to.equal('refused');
  });

  it('shares the blame: a request that is there each time bears it, those beside it do not', () => {
    recordCrashes(1, ['a', 'b', 'c']);
    recordCrashes(1, ['a', 'd', 'e']);
    expect(quarantine.judge('a').kind).to.equal('refused');
    expect(['b', 'c', 'd', 'e'].map((one) => quarantine.judge(one).kind)).to.deep.equal(
      Array.from({ length: 4 }, () => 'allowed'),
    );
  });

  // Requests that crash upstreams and come together look like a common cause.
  it('holds for requests that are in flight time after time where upstreams crash together', () => {
    const together = ['a', 'b', 'c', 'd'];
    let lateRuns: readonly string[] = [];
    Array.from({ length: 9 }).forEach((_, wave) => {
      now += 4000;
      together
        .filter((fingerprint) => quarantine.judge(fingerprint).kind !== 'refused')
        .forEach((fingerprint, index) => {
          if (wave >= 3) lateRuns = [...lateRuns, fingerprint];
          const proper = [`${wave}-${index}-1`, `${wave}-${index}-2`];
          quarantine.recordCommonCrash(wave * 10 + index, [fingerprint, ...proper], 0);
        });
    });
    expect(together.map((one) => quarantine.judge(one).kind)).to.deep.equal(
      together.map(() => 'refused'),
    );
    const counts = together.map((one) => lateRuns.filter((run) => run === one).length);
    expect(Math.max(...counts)).to.be.at.most(3);
    expect(changes).to.have.length(together.length);
  });

  it('does not hold for what upstreams lost that crashed together twice, however often it was retried', () => {
    [0, 5000].forEach((wait) => {
      now += wait;
      Array.from({ length: 6 }).forEach(() => {
        now += 200;
        quarantine.recordCommonCrash(now, ['a'], 0);
      });
    });
    expect(quarantine.judge('a').kind).to.equal('allowed');
  });

  it('does not hold for what crashes with a common cause have found, if it succeeds in between', () => {
    Array.from({ length: 9 }).forEach(() => {
      now += 4000;
      quarantine.recordCommonCrash(now, ['a'], 0);
      now += 500;
      quarantine.recordSuccess('a');
    });
    expect(quarantine.judge('a').kind).to.equal('allowed');
  });

  it('counts what one upstream lost once, whoever reports it', () => {
    quarantine.recordCrash(7, ['a'], 0);
    const other = createQuarantine();
    other.recordCrash(7, ['a'], 0);
    other.listReportable().forEach((suspect) => quarantine.applyReport(suspect));
    expect(quarantine.judge('a').kind).to.equal('allowed');
  });

  it('counts an upstream twice that crashes again under the same name', () => {
    quarantine.recordCrash(7, ['a'], 0);
    now += 4000;
    quarantine.recordCrash(7, ['a'], 0);
    expect(quarantine.judge('a').kind).to.equal('refused');
  });

  it('states when the request may come back, tries it once, and waits longer after each crash', () => {
    recordCrashes(2, ['a']);
    expect(quarantine.judge('a')).to.deep.equal({ kind: 'refused', retryAfterMs: MINUTE_MS });
    now += MINUTE_MS;
    isOwnTurn = false;
    expect(quarantine.judge('a').kind).to.equal('refused');
    isOwnTurn = true;
    expect(quarantine.judge('a').kind).to.equal('trial');
    quarantine.recordTrial('a');
    expect(quarantine.judge('a').kind).to.equal('refused');
    recordCrashes(1, ['a']);
    expect(quarantine.judge('a')).to.deep.equal({ kind: 'refused', retryAfterMs: 10 * MINUTE_MS });
    now += 10 * MINUTE_MS;
    quarantine.recordTrial('a');
    recordCrashes(1, ['a']);
    expect(quarantine.judge('a')).to.deep.equal({ kind: 'refused', retryAfterMs: HOUR_MS });
  });

  it('sends a request that crashes everything at most three times within an hour of its third crash', () => {
    let crashes = 0;
    let thirdAt = Number.POSITIVE_INFINITY;
    let late = 0;
    Array.from({ length: HOUR_MS / 500 }).forEach(() => {
      now += 500;
      const { kind } = quarantine.judge('a');
      if (kind === 'refused') return;
      if (kind === 'trial') quarantine.recordTrial('a');
      if (now > thirdAt + 3000) late += 1;
      crashes += 1;
      quarantine.recordCrash(now, ['a'], 0);
      quarantine.runTick();
      if (crashes === 3) thirdAt = now;
    });
    expect(late).to.be.at.most(3);
    expect(crashes).to.be.at.most(4);
  });

  it('ends with a success, also one that another daemon reports', () => {
    recordCrashes(2, ['a']);
    const other = createQuarantine();
    quarantine.listReportable().forEach((suspect) => other.applyReport(suspect));
    expect(other.judge('a').kind).to.equal('refused');
    now += MINUTE_MS;
    expect(quarantine.recordSuccess('a')).to.equal(true);
    expect(quarantine.judge('a').kind).to.equal('allowed');
    quarantine.listReportable().forEach((suspect) => other.applyReport(suspect));
    expect(other.judge('a').kind).to.equal('allowed');
  });

  it('has news for a daemon that accuses a request which succeeded here', () => {
    const other = createQuarantine();
    other.recordCrash(1, ['a'], 0);
    now += 2000;
    other.recordCrash(2, ['a'], 0);
    now += 100;
    quarantine.recordSuccess('a');
    const answers = other.listReportable().map((suspect) => quarantine.applyReport(suspect));
    expect(answers).to.deep.equal(['refuted']);
    expect(quarantine.judge('a').kind).to.equal('allowed');
    quarantine.listReportable().forEach((suspect) => other.applyReport(suspect));
    expect(other.judge('a').kind).to.equal('allowed');
  });

  it('takes the same report again for nothing new, however its age was measured', () => {
    recordCrashes(2, ['a']);
    quarantine.recordTrial('a');
    const [suspect] = quarantine.listReportable();
    const delayed = suspect && {
      ...suspect,
      triedAt: (suspect.triedAt ?? 0) + 300,
      crashes: suspect.crashes.map((crash) => ({ ...crash, at: crash.at + 300 })),
    };
    expect(delayed && quarantine.applyReport(delayed)).to.equal('known');
    expect(quarantine.listReportable()).to.deep.equal([suspect]);
  });

  it('is bounded with many fingerprints seen once, and keeps the quarantined ones', () => {
    recordCrashes(2, ['a']);
    Array.from({ length: 5000 }, (_, index) => `b${index}`).forEach((fingerprint) => {
      quarantine.recordSuccess(`s-${fingerprint}`);
      recordCrashes(1, [fingerprint], 1);
    });
    expect(quarantine.judge('a').kind).to.equal('refused');
    expect(quarantine.listReportable().length).to.be.at.most(512);
    now += 3 * HOUR_MS;
    quarantine.runTick();
    expect(quarantine.listReportable()).to.deep.equal([]);
  });
});
