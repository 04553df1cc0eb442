import { expect } from 'chai';
import { mock } from 'node:test';
import { Writable } from 'node:stream';

import { LineBudget } from './line-budget.js';
import { LineWriter } from './line-writer.js';

const TICK_MS = 20;

describe('the lines of a log', () => {
  let now = 0;
  const clock = { now: () => now };

  beforeEach(() => {
    now = 0;
    mock.timers.enable({ apis: ['setTimeout'] });
  });

  afterEach(() => mock.timers.reset());

  function passTime(ms: number): void {
    Array.from({ length: ms / TICK_MS }).forEach(() => {
      now += TICK_MS;
      mock.timers.tick(TICK_MS);
    });
  }

  function createWriter(output: Writable, maxLinesPerSecond: number): LineWriter {
    const buildReport = (count: number): string => `left out ${count}`;
    return new LineWriter({ output, clock, maxLinesPerSecond, buildReport });
  }

  /** Takes text as fast as it comes, or, stalled, never. */
  function createOutput(isStalled: boolean): {
    readonly output: Writable;
    readonly listLines: () => readonly string[];
  } {
    let text = '';
    const output = new Writable({
      highWaterMark: 1,
      write: (chunk, _encoding, done) => {
        text += String(chunk);
        if (!isStalled) done();
      },
    });
    return { output, listLines: () => text.split('\n').slice(0, -1) };
  }

  it('are written in order, in batches', () => {
    const { output, listLines } = createOutput(false);
    const writer = createWriter(output, 100);
    ['a', 'b', 'c'].forEach((line) => writer.write(line, 'ordinary'));
    expect(listLines()).to.deep.equal([]);
    passTime(TICK_MS);
    expect(listLines()).to.deep.equal(['a', 'b', 'c']);
  });

  it('are bounded, ordinary ones first, and what was left out is told', () => {
    const { output, listLines } = createOutput(false);
    const writer = createWriter(output, 100);
    Array.from({ length: 80 }).forEach(() => writer.write('ordinary', 'ordinary'));
    Array.from({ length: 80 }).forEach(() => writer.write('kept', 'kept'));
    passTime(1000);
    const count = (wanted: string): number => listLines().filter((line) => line === wanted).length;
    expect([count('ordinary'), count('kept')]).to.deep.equal([50, 50]);
    expect(listLines().at(-1)).to.equal('left out 60');
  });

  it('hold nothing up and grow no further while nobody reads', () => {
    const { output } = createOutput(true);
    const writer = createWriter(output, 1_000_000);
    const line = 'x'.repeat(1000);
    Array.from({ length: 200 }).forEach(() => {
      Array.from({ length: 100 }).forEach(() => writer.write(line, 'kept'));
      passTime(TICK_MS);
    });
    expect(output.writableLength).to.be.within(1, 2 * 1024 * 1024);
  });

  it('earn their budget back with time, up to one second of it', () => {
    const budget = new LineBudget(10, clock);
    const take = (times: number): number =>
      Array.from({ length: times }).filter(() => budget.take('kept')).length;
    expect(take(20)).to.equal(10);
    now += 300;
    expect(take(20)).to.equal(3);
    now += 60_000;
    expect(take(20)).to.equal(10);
  });
});
