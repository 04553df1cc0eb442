import { expect } from 'chai';
import { mkdtemp, readdir, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

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
