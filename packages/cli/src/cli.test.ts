import { expect } from 'chai';
import { mkdtemp, readdir, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { mock } from 'node:test';
import { fileURLToPath } from 'node:url';

import { runCli } from './cli.js';
import { formatReview, readReview } from './commands/check-config.js';
import { runCheckLists, runCheckSettings } from './commands/checks.js';

const EXAMPLES = fileURLToPath(new URL('../../../settings/', import.meta.url));

async function writeText(text: string): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'baobabline-'));
  const file = join(folder, 'input.json');
  await writeFile(file, text);
  return file;
}

async function readFault(work: Promise<void>): Promise<string> {
  return work.then(
    () => 'none',
    (error: Error) => error.message,
  );
}

describe('checks on the command line', () => {
  it('let the example files pass', async () => {
    const files = await readdir(EXAMPLES);
    const work = files.map((file) =>
      file.endsWith('-lists.json')
        ? runCheckLists({ file: join(EXAMPLES, file), kind: 'lists' })
        : runCheckSettings(join(EXAMPLES, file)),
    );
    expect(await Promise.all(work.map(readFault))).to.deep.equal(files.map(() => 'none'));
  });

  it('name every fault of the settings at once', async () => {
    const file = await writeText(
      '{"id": "Entry 1", "surprise": 1, "callers": {"address": "host"}}',
    );
    const fault = await readFault(runCheckSettings(file));
    expect(fault).to.match(/^id: "Entry 1" is not allowed: must be/m);
    expect(fault).to.match(/^callers\.address: "host" is not allowed: must be an IP address$/m);
    expect(fault).to.match(/Unrecognized key: "surprise"/);
  });

  it('say where JSON is broken and that a file is missing', async () => {
    expect(await readFault(runCheckSettings(await writeText('{')))).to.match(
      /is not allowed: JSON/,
    );
    expect(await readFault(runCheckSettings('/nowhere.json'))).to.match(/ENOENT/);
    const lists = runCheckLists({ file: await writeText('['), kind: 'lists' });
    expect(await readFault(lists)).to.match(/JSON/);
  });

  it('split lists of more than a megabyte into values that the service takes', async () => {
    const customers = Array.from({ length: 40_000 }, (_, index) => ({
      id: `customer-${index}`,
      plan: 'standard',
    }));
    const plan = {
      id: 'standard',
      ratePerSecond: 1,
      burst: 1,
      services: [{ name: 's', kinds: [{ name: 'read', weight: 1 }], floorSlots: 0 }],
    };
    const file = await writeText(JSON.stringify({ version: 1, customers, plans: [plan] }));
    const out = await mkdtemp(join(tmpdir(), 'baobabline-'));
    await runCheckLists({ file, kind: 'lists', out });
    expect((await readdir(out)).length).to.be.above(4);
  });
});

describe('the check of a configuration on the command line', () => {
  const sound = {
    version: 'r2',
    limits: { maxHeaderBytes: 100, maxBodyBytes: 100, headerTimeoutS: 1, idleTimeoutS: 10 },
    listeners: [],
  };
  const contradictory = { ...sound, limits: { ...sound.limits, headerTimeoutS: 11 } };

  async function readExitCode(words: readonly string[]): Promise<readonly unknown[]> {
    const out = mock.method(process.stdout, 'write', () => true);
    const errors = mock.method(process.stderr, 'write', () => true);
    await runCli(['check-config', ...words]).finally(() => mock.restoreAll());
    const { exitCode } = process;
    process.exitCode = 0;
    return [exitCode, out.mock.callCount(), errors.mock.callCount()];
  }

  // Scripts go on with a publication by the exit code alone.
  it('ends with 0 without findings, 1 with any, and 2 if a file cannot be used', async () => {
    const files = [sound, contradictory, { version: 'r1' }].map((value) => JSON.stringify(value));
    const [good = '', bad = '', invalid = ''] = await Promise.all(files.map(writeText));
    const broken = await writeText('{');
    expect(await readExitCode([good])).to.deep.equal([0, 1, 0]);
    expect(await readExitCode([good, '--json', '--in-force', bad])).to.deep.equal([1, 1, 0]);
    expect(await readExitCode([bad])).to.deep.equal([1, 1, 0]);
    expect(await readExitCode([invalid])).to.deep.equal([1, 1, 0]);
    expect(await readExitCode([broken])).to.deep.equal([2, 0, 1]);
    expect(await readExitCode(['/nowhere.json'])).to.deep.equal([2, 0, 1]);
    expect(await readExitCode([good, '--in-force', invalid])).to.deep.equal([2, 0, 1]);
  });

  it('prints findings before differences, a line each', async () => {
    const file = await writeText(JSON.stringify({ ...contradictory, version: 'r3' }));
    const inForce = await writeText(JSON.stringify(sound));
    const text = formatReview(await readReview({ file, inForce, json: false, quotaWindow: 5 }));
    expect(text.split('\n')).to.deep.equal([
      'contradiction: limits: the header timeout of 11 s is above the idle limit of 10 s',
      'changed: configuration: version 2 -> 3, headerTimeoutMs 1000 -> 11000',
      '',
    ]);
  });
});
