/**
 * The datagram in which a daemon reports the rate limits that upstreams stated in its answers.
 */
import { countField, durationField, rateField } from '@baobabline/core';
import * as z from 'zod';

import { formatBody, parseBody } from '../datagrams/index.js';

/** What an upstream stated about its rate limit. */
export type ReportedRateLimit = {
  /** Hash of the upstream's id, as in the other reports. */
  readonly upstream: number;
  /** Requests per second from the whole fleet; undefined if the upstream has no limit any more. */
  readonly perSecond: number | undefined;
  /** Time in milliseconds since the upstream is known to have stated this. */
  readonly ageMs: number;
};

/** More rows than fit into a datagram. */
const MAX_ROWS = 10_000;

const messageSchema = z
  .array(z.tuple([countField, rateField.nullable(), durationField]))
  .max(MAX_ROWS);

/** Formats rate limits as the body of a datagram. */
export function formatRateLimits(limits: readonly ReportedRateLimit[]): Buffer {
  return formatBody(
    limits.map(({ upstream, perSecond, ageMs }) => [upstream, perSecond ?? null, Math.ceil(ageMs)]),
  );
}

/** Parses the body of a datagram; undefined if it is not a valid report. */
export function parseRateLimits(body: Buffer): readonly ReportedRateLimit[] | undefined {
  return parseBody(body, messageSchema)?.map(([upstream, perSecond, ageMs]) => ({
    upstream,
    perSecond: perSecond ?? undefined,
    ageMs,
  }));
}
