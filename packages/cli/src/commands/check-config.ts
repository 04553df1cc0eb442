/**
 * Checks a routing configuration of the platform before it is published, with the checks of the
 * daemons themselves, and compares it with the one in force.
 */
import { judgeConfiguration } from '@baobabline/core';
import type { ConfigurationReview, Difference, RoutingConfiguration } from '@baobabline/core';
import { decodeConfigurationFile } from '@baobabline/platform';
import type { DecodedConfiguration } from '@baobabline/platform';
import { readFile } from 'node:fs/promises';
import process from 'node:process';

import { CheckError } from './checks.js';

export type CheckConfigOptions = {
  readonly file: string;
  /** File of the configuration in force, if there is one to compare with. */
  readonly inForce?: string | undefined;
  readonly json: boolean;
  /** Span for which the quotas of accounts count, in seconds. */
  readonly quotaWindow: number;
};

const EXIT_CLEAN = 0;
const EXIT_FINDINGS = 1;
const MS_PER_SECOND = 1000;

async function decodeFile(
  file: string,
): Promise<Exclude<DecodedConfiguration, { kind: 'unreadable' }>> {
  const text = await readFile(file, 'utf8').catch((error: Error) => {
    throw new CheckError(error.message);
  });
  const decoded = decodeConfigurationFile(text);
  if (decoded.kind === 'unreadable') throw new CheckError(`${file}: ${decoded.reason}`);
  return decoded;
}

async function loadInForce(file: string): Promise<RoutingConfiguration> {
  const decoded = await decodeFile(file);
  if (decoded.kind === 'valid') return decoded.configuration;
  throw new CheckError(`${file}: ${decoded.reason}`);
}

function formatDifference({ place, change, fields }: Difference): string {
  const changes = Object.entries(fields).map(
    ([name, [before, after]]) => `${name} ${before} -> ${after}`,
  );
  return `${change}: ${place}${changes.length > 0 ? `: ${changes.join(', ')}` : ''}`;
}

/** Formats a review as lines, the findings first. */
export function formatReview({ findings, differences }: ConfigurationReview): string {
  const lines = [
    ...findings.map(({ kind, place, message }) => `${kind}: ${place}: ${message}`),
    ...differences.map(formatDifference),
  ];
  return lines.map((line) => `${line}\n`).join('');
}

/** Reviews the files. Rejects with CheckError. */
export async function readReview(options: CheckConfigOptions): Promise<ConfigurationReview> {
  const { file, inForce, quotaWindow } = options;
  const decoded = await decodeFile(file);
  const known = inForce === undefined ? undefined : await loadInForce(inForce);
  if (decoded.kind === 'invalid') {
    const finding = { kind: 'error', place: 'configuration', message: decoded.reason } as const;
    return { findings: [finding], differences: [] };
  }
  return judgeConfiguration(decoded.configuration, known, quotaWindow * MS_PER_SECOND);
}

/** Prints the review, and sets the exit code: 1 if there is any finding; differences are none. */
export async function runCheckConfig(options: CheckConfigOptions): Promise<void> {
  const review = await readReview(options);
  const isClean = review.findings.length === 0;
  const clean = isClean ? `${options.file}: no findings\n` : '';
  const text = options.json ? `${JSON.stringify(review)}\n` : `${formatReview(review)}${clean}`;
  process.stdout.write(text);
  process.exitCode = isClean ? EXIT_CLEAN : EXIT_FINDINGS;
}
