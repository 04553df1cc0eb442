/**
 * Guards against answers whose bytes cost more processor time the more of them there are: one upstream
 * would stop the whole daemon. Steps are counted, not time: the characters that regular expressions are
 * given while an answer is read, each of which has to be one of linear time, and the bytes that are read
 * before the answer is refused.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { HTTPParser } from 'http-parser-js';
import { mock } from 'node:test';
import { analyse } from 'scslre';

import { addHeaderLine } from './header-lines.js';
import { ResponseParser } from './response-parser.js';

/** Set `FUZZ_SEED` and `FUZZ_RUNS` for a longer search by hand. */
const SEED = Number(process.env.FUZZ_SEED ?? 8);
const RUNS = Number(process.env.FUZZ_RUNS ?? 200);
const READ_BYTES = 16 * 1024;
/** Of the lines of one answer; an answer is read no further than to the end of the read. */
const MAX_LINE_BYTES = 80 * 1024 + READ_BYTES;
/** Each byte of a line is given to a few expressions at most, and once more with the line before it. */
const MAX_STEPS_PER_BYTE = 8;
const FIXED_STEPS = 2000;

type Cost = {
  readonly steps: number;
  readonly expressions: ReadonlySet<RegExp>;
  readonly readBytes: number;
  readonly fault: Error | undefined;
};

/** Counts what reading these bytes costs, up to the first fault. */
function countCost(bytes: Buffer): Cost {
  const expressions = new Set<RegExp>();
  let steps = 0;
  const { exec } = RegExp.prototype;
  const counted = mock.method(
    RegExp.prototype,
    'exec',
    function execCounted(this: RegExp, text: string): RegExpExecArray | null {
      expressions.add(this);
      steps += text.length;
      return exec.call(this, text);
    },
  );
  const parser = new ResponseParser({
    onHead: () => false,
    onBody: () => undefined,
    onEnd: () => true,
  });
  const read = (from: number): Omit<Cost, 'steps' | 'expressions'> => {
    const fault = parser.parse(bytes.subarray(from, from + READ_BYTES));
    const readBytes = Math.min(bytes.length, from + READ_BYTES);
    return fault || readBytes === bytes.length ? { readBytes, fault } : read(readBytes);
  };
  try {
    const end = read(0);
    return { ...end, steps, expressions };
  } finally {
    counted.mock.restore();
  }
}

function isLinear(expression: RegExp): boolean {
  const { reports } = analyse(expression, { reportTypes: { Move: true, Self: true, Trade: true } });
  return reports.length === 0;
}

const HEAD = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

/** Where the drawn bytes stand: what comes before them. */
const starts = fc.constantFrom(
  '',
  'HTTP/1.1 200 ',
  HEAD,
  `${HEAD}X-A: 1\r\n`,
  `${HEAD}X-A:`,
  CHUNKED,
  `${CHUNKED}5;a=`,
  `${CHUNKED}5\r\nhello\r\n`,
  `${CHUNKED}0\r\n`,
  `${CHUNKED}0\r\nX-T:`,
);
const piece = fc.oneof(
  fc.constantFrom(
    ' ',
    '\t',
    ' \n',
    ': ',
    'a: \r\n',
    ' a\r\n',
    ' a',
    ';',
    '0',
    '0\r\n',
    '\r\n',
    '\r',
  ),
  fc.constantFrom('HTTP/1.1 100 Continue\r\n\r\n', `${HEAD}Content-Length: 0\r\n\r\n`),
  fc.string({
    unit: fc.constantFrom(' ', '\t', 'a', ':', ';', ',', '0', '\r', '\n', '\u00a0'),
    minLength: 1,
    maxLength: 6,
  }),
);

describe('the cost of an answer', () => {
  it('grows no faster than its bytes, whatever it repeats', () => {
    fc.assert(
      fc.property(starts, piece, fc.integer({ min: 1, max: 3000 }), (start, repeated, count) => {
        const [once, twice] = [count, 2 * count].map((times) =>
          countCost(Buffer.from(start + repeated.repeat(times), 'latin1')),
        ) as [Cost, Cost];
        twice.expressions.forEach((one) => expect(isLinear(one), String(one)).to.equal(true));
        expect(twice.steps).to.be.at.most(FIXED_STEPS + MAX_STEPS_PER_BYTE * twice.readBytes);
        expect(twice.steps).to.be.at.most(FIXED_STEPS + 3 * once.steps);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('is counted in each expression that reads a head', () => {
    const { expressions, fault } = countCost(
      Buffer.from(`${HEAD}X-A: 1\r\nContent-Length: 0\r\n\r\n`),
    );
    expect(fault).to.equal(undefined);
    expect(expressions.size).to.be.at.least(3);
  });

  [
    { name: 'lines of blanks', start: HEAD, repeated: `${' '.repeat(60_000)}\n` },
    { name: 'one line of blanks', start: HEAD, repeated: ' ' },
    { name: 'a value of blanks', start: `${HEAD}X-A:`, repeated: ' ' },
    { name: 'trailers of blanks', start: `${CHUNKED}0\r\n`, repeated: `${' '.repeat(60_000)}\n` },
    { name: 'the extension of a chunk', start: `${CHUNKED}5;a=`, repeated: 'x' },
    { name: 'empty headers', start: HEAD, repeated: 'a:\n' },
    { name: 'interim answers', start: '', repeated: 'HTTP/1.1 100 Continue\r\n\r\n' },
    { name: 'empty lines', start: '', repeated: '\r\n' },
  ].forEach(({ name, start, repeated }) =>
    it(`is bounded for ${name} without end`, () => {
      const bytes = Buffer.from(start + repeated.repeat(Math.ceil(400_000 / repeated.length)));
      const { fault, readBytes, expressions } = countCost(bytes);
      expressions.forEach((one) => expect(isLinear(one), String(one)).to.equal(true));
      expect(fault).to.be.an('error');
      expect(readBytes).to.be.at.most(MAX_LINE_BYTES);
    }),
  );
});

describe('a header line', () => {
  it('is read as the library reads it', () => {
    const line = fc.string({
      unit: fc.constantFrom('a', 'b', ':', ' ', '\t', '\u00a0', '\u0085', '-'),
      minLength: 1,
      maxLength: 10,
    });
    const library = new HTTPParser(HTTPParser.RESPONSE) as unknown as {
      readonly parseHeader: (line: string, headers: string[]) => void;
    };
    fc.assert(
      fc.property(fc.array(line, { maxLength: 6 }), (lines) => {
        const expected: string[] = [];
        const read: string[] = [];
        lines.forEach((one) => {
          library.parseHeader(one, expected);
          addHeaderLine(one, read);
        });
        expect(read).to.deep.equal(expected);
      }),
      { seed: SEED, numRuns: 10 * RUNS },
    );
  });
});
