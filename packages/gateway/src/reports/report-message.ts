/**
 * The datagram by which dispatchers tell each other what they have just seen. Upstreams are named
 * by a hash of their id.
 */
import { hashText } from '@baobabline/core';
import * as z from 'zod';

import { formatBody, parseBody } from '../datagrams/index.js';

/** What one attempt has shown of an upstream. */
export type ReportedOutcome = {
  readonly upstream: number;
  readonly isGood: boolean;
  /** How long ago that was, in milliseconds: a good answer's sending, a failure's end. */
  readonly ageMs: number;
};

export type DispatcherReport = {
  readonly reporterId: string;
  /** Start of the reporter and number of the report, so that late datagrams are known. */
  readonly incarnation: number;
  readonly sequence: number;
  /** Upstreams and the requests that the reporter has in flight there; absent: nothing new. */
  readonly inFlight: readonly (readonly [upstream: number, count: number])[] | undefined;
  readonly outcomes: readonly ReportedOutcome[];
};

const messageSchema = z.tuple([
  z.string(),
  z.number(),
  z.number(),
  z.array(z.tuple([z.number(), z.number()])).nullable(),
  z.array(z.tuple([z.number(), z.number(), z.number()])),
]);

/** The name of an upstream in reports. */
export function computeUpstreamHash(upstreamId: string): number {
  return hashText(upstreamId);
}

/** Turns a report into the body of a datagram. */
export function formatReport(report: DispatcherReport): Buffer {
  const { reporterId, incarnation, sequence, inFlight, outcomes } = report;
  const rows = outcomes.map(({ upstream, isGood, ageMs }) => [
    upstream,
    isGood ? 1 : 0,
    Math.round(ageMs),
  ]);
  return formatBody([reporterId, incarnation, sequence, inFlight ?? null, rows]);
}

/** Reads the body of a datagram; undefined if it is no report. */
export function parseReport(body: Buffer): DispatcherReport | undefined {
  const parsed = parseBody(body, messageSchema);
  if (!parsed) return undefined;
  const [reporterId, incarnation, sequence, inFlight, rows] = parsed;
  const outcomes = rows.map(([upstream, good, ageMs]) => ({ upstream, isGood: good === 1, ageMs }));
  return { reporterId, incarnation, sequence, inFlight: inFlight ?? undefined, outcomes };
}
