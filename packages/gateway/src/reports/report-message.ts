/**
 * The datagram in which a dispatcher reports its latest observations to other dispatchers. Upstreams
 * are identified by a hash of their id.
 */
import {
  ageField,
  buildTolerantList,
  counterField,
  countField,
  hashText,
  nameField,
} from '@baobabline/core';
import * as z from 'zod';

import { formatBody, parseBody } from '../datagrams/index.js';

/** The outcome of one attempt at an upstream. */
export type ReportedOutcome = {
  readonly upstream: number;
  readonly isGood: boolean;
  /** Time in milliseconds since a successful attempt was sent, or since a failed one ended. */
  readonly ageMs: number;
};

export type DispatcherReport = {
  readonly reporterId: string;
  /** Start of the reporter; with `sequence` it identifies late and duplicate datagrams. */
  readonly incarnation: number;
  readonly sequence: number;
  /** The reporter's requests in flight by upstream; undefined if the report has no load. */
  readonly inFlight: readonly (readonly [upstream: number, count: number])[] | undefined;
  readonly outcomes: readonly ReportedOutcome[];
};

/** More rows than fit into a datagram. */
const MAX_ROWS = 10_000;

const messageSchema = z.tuple([
  nameField,
  counterField,
  counterField,
  buildTolerantList(z.tuple([countField, countField]), MAX_ROWS).nullable(),
  buildTolerantList(
    z.tuple([countField, z.union([z.literal(0), z.literal(1)]), ageField]),
    MAX_ROWS,
  ),
]);

/** Computes the identifier of an upstream in reports. */
export function computeUpstreamHash(upstreamId: string): number {
  return hashText(upstreamId);
}

/** Formats a report as the body of a datagram. */
export function formatReport(report: DispatcherReport): Buffer {
  const { reporterId, incarnation, sequence, inFlight, outcomes } = report;
  const rows = outcomes.map(({ upstream, isGood, ageMs }) => [
    upstream,
    isGood ? 1 : 0,
    Math.round(ageMs),
  ]);
  return formatBody([reporterId, incarnation, sequence, inFlight ?? null, rows]);
}

/** Parses the body of a datagram; undefined if it is not a valid report. */
export function parseReport(body: Buffer): DispatcherReport | undefined {
  const parsed = parseBody(body, messageSchema);
  if (!parsed) return undefined;
  const [reporterId, incarnation, sequence, inFlight, rows] = parsed;
  const outcomes = rows.map(([upstream, good, ageMs]) => ({ upstream, isGood: good === 1, ageMs }));
  return { reporterId, incarnation, sequence, inFlight: inFlight ?? undefined, outcomes };
}
