/**
 * The datagram in which a daemon reports requests that were in flight when upstreams ended. A daemon
 * that has just started asks for such reports in the same way.
 */
import { buildTolerantList, countField, durationField } from '@baobabline/core';
import type { CrashEvidence, SuspectRequest } from '@baobabline/core';
import * as z from 'zod';

import { formatBody, parseBody } from '../datagrams/index.js';

export type QuarantineReport = {
  /** Whether the sender asks for a report in return. */
  readonly isQuery: boolean;
  /** Times are in milliseconds of the clock of the daemon that formats or parses the report. */
  readonly suspects: readonly SuspectRequest[];
};

/** More rows than fit into a datagram. */
const MAX_ROWS = 1000;
const MAX_FINGERPRINT_LENGTH = 64;
const MAX_CRASHES = 64;

/** The blame is sent in whole hundredths. */
const BLAME_UNIT = 100;

const crashSchema = z.tuple([countField, durationField, z.int().min(0).max(BLAME_UNIT)]);

const suspectSchema = z.tuple([
  z.string().min(1).max(MAX_FINGERPRINT_LENGTH),
  durationField.nullable(),
  durationField.nullable(),
  z.array(crashSchema).max(MAX_CRASHES),
]);

const messageSchema = z.tuple([z.boolean(), buildTolerantList(suspectSchema, MAX_ROWS)]);

function formatAge(at: number | undefined, now: number): number | null {
  return at === undefined ? null : Math.max(0, Math.round(now - at));
}

/** Formats a report as the body of a datagram. */
export function formatQuarantineReport(
  { isQuery, suspects }: QuarantineReport,
  now: number,
): Buffer {
  const rows = suspects.map(({ fingerprint, succeededAt, triedAt, crashes }) => [
    fingerprint,
    formatAge(succeededAt, now),
    formatAge(triedAt, now),
    crashes.map(({ crash, at, blame }) => [
      crash,
      formatAge(at, now),
      Math.round(blame * BLAME_UNIT),
    ]),
  ]);
  return formatBody([isQuery, rows]);
}

/** Parses the body of a datagram; undefined if it is not a valid report. */
export function parseQuarantineReport(body: Buffer, now: number): QuarantineReport | undefined {
  const parsed = parseBody(body, messageSchema);
  if (!parsed) return undefined;
  const [isQuery, rows] = parsed;
  const suspects = rows.map(([fingerprint, successAge, trialAge, crashes]) => ({
    fingerprint,
    succeededAt: successAge === null ? undefined : now - successAge,
    triedAt: trialAge === null ? undefined : now - trialAge,
    crashes: crashes.map(([crash, ageMs, blame]): CrashEvidence => ({
      crash,
      at: now - ageMs,
      blame: blame / BLAME_UNIT,
    })),
  }));
  return { isQuery, suspects };
}
