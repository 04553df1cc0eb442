/**
 * Checks before something is put in force: a daemon's settings, and the operators' two lists.
 */
import {
  BaseError,
  buildManifest,
  checkLists,
  checkVmList,
  computeDigest,
  formatFault,
  MAX_VALUE_BYTES,
  splitDocument,
} from '@baobabline/core';
import type { ValidationResult } from '@baobabline/core';
import { loadSettings } from '@baobabline/daemon';
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import process from 'node:process';

export const CheckError = BaseError.subclass('CheckError');

export type CheckListsOptions = {
  readonly file: string;
  readonly kind: 'lists' | 'vm-list';
  /** Folder for the values to publish, if wanted. */
  readonly out?: string | undefined;
};

// A value is base64 on the wire of the service, but its limit counts the bytes of the text.
const PART_CHARACTERS = MAX_VALUE_BYTES / 4;

async function readJson(file: string): Promise<unknown> {
  try {
    return JSON.parse(await readFile(file, 'utf8'));
  } catch (error) {
    throw new CheckError(`${file}: ${(error as Error).message}`);
  }
}

async function writeValues(folder: string, name: string, text: string): Promise<number> {
  await mkdir(folder, { recursive: true });
  if (Buffer.byteLength(text) <= MAX_VALUE_BYTES) {
    await writeFile(join(folder, name), text);
    return 1;
  }
  const parts = splitDocument(name, text, PART_CHARACTERS, computeDigest);
  await Promise.all(parts.map((part) => writeFile(join(folder, part.key), part.text)));
  await writeFile(join(folder, name), buildManifest(parts));
  return parts.length + 1;
}

/** Checks a file of lists and writes the values to publish. Rejects with CheckError. */
export async function runCheckLists({ file, kind, out }: CheckListsOptions): Promise<void> {
  const value = await readJson(file);
  const check: (input: unknown) => ValidationResult<{ readonly version: number }> =
    kind === 'lists' ? checkLists : checkVmList;
  const checked = check(value);
  if (!checked.ok) throw new CheckError(checked.faults.map(formatFault).join('\n'));
  process.stdout.write(`${file}: version ${checked.value.version} may be published\n`);
  if (out === undefined) return;
  const count = await writeValues(out, kind, JSON.stringify(checked.value));
  process.stdout.write(`${count} values written to ${out}; publish ${kind} last\n`);
}

/** Checks a settings file. Rejects with SettingsError. */
export async function runCheckSettings(file: string): Promise<void> {
  const settings = await loadSettings(file);
  process.stdout.write(`${file}: settings of ${settings.id} in ${settings.dataCentre} are good\n`);
}
