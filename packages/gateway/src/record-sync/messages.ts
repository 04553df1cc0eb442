/**
 * The datagrams that replicate changes of records between daemons. A poll states the revision that
 * a daemon has. An update contains the changes since that revision, or says that they are too large
 * for a datagram and must be fetched.
 */
import { registeredUpstreamSchema } from '@baobabline/core';
import type { FreshnessClaim, PublishedRecord } from '@baobabline/core';
import * as z from 'zod';

import { formatBody, parseBody } from '../datagrams/index.js';

export type Poll = {
  readonly id: string;
  /** Revision up to which the daemon has all changes. */
  readonly revision: number;
  /** Whether it wants updates pushed as changes occur, until its subscription expires. */
  readonly wantsPush: boolean;
  /** Whether it is a reader that cannot reach the store, and so needs helpers to read it. */
  readonly needsHelpers: boolean;
};

export type RecordUpdate = {
  readonly id: string;
  /** The records are the changes after this revision. */
  readonly baseRevision: number;
  readonly revision: number;
  readonly claim: FreshnessClaim | undefined;
  /** Undefined if the changes do not fit into a datagram and must be fetched. */
  readonly records: readonly PublishedRecord[] | undefined;
};

/** Larger datagrams would be fragmented, and the loss of one fragment loses the datagram. */
const MAX_UPDATE_BYTES = 1200;
/** A record takes about 100 bytes. */
const MAX_UPDATE_RECORDS = 12;

const pollSchema = z.tuple([z.string(), z.number(), z.boolean(), z.boolean()]);

const upstreamRowSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.string(),
  z.number(),
  z.boolean(),
  z.number(),
  z.number(),
]);

const recordUpdateSchema = z.tuple([
  z.string(),
  z.number(),
  z.number(),
  z.tuple([z.number(), z.string()]).nullable(),
  z.array(z.tuple([z.string(), z.number(), upstreamRowSchema.nullable()])).nullable(),
]);

type UpstreamRow = z.infer<typeof upstreamRowSchema>;

function formatUpstream(upstream: NonNullable<PublishedRecord['upstream']>): UpstreamRow {
  const { id, service, address, port, dataCentre, slots, state, warmUpMs, bornAt } = upstream;
  return [id, service, address, port, dataCentre, slots, state === 'draining', warmUpMs, bornAt];
}

/** Parses a row; undefined, as for a record without an upstream, if a field is out of range. */
function parseUpstream(row: UpstreamRow): PublishedRecord['upstream'] {
  const [id, service, address, port, dataCentre, slots, isDraining, warmUpMs, bornAt] = row;
  return registeredUpstreamSchema.safeParse({
    id,
    service,
    address,
    port,
    dataCentre,
    slots,
    state: isDraining ? 'draining' : 'ready',
    warmUpMs,
    bornAt,
  }).data;
}

export function formatPoll({ id, revision, wantsPush, needsHelpers: isCutOff }: Poll): Buffer {
  return formatBody([id, revision, wantsPush, isCutOff]);
}

/** Parses a poll; undefined if the body is not a valid poll. */
export function parsePoll(body: Buffer): Poll | undefined {
  const parsed = parseBody(body, pollSchema);
  if (!parsed) return undefined;
  const [id, revision, wantsPush, isCutOff] = parsed;
  return { id, revision, wantsPush, needsHelpers: isCutOff };
}

/** Formats the records of an update for reuse; undefined if they do not fit into a datagram. */
export function formatRecords(records: readonly PublishedRecord[]): readonly unknown[] | undefined {
  const isSmall =
    records.length <= MAX_UPDATE_RECORDS && records.every(({ configuration }) => !configuration);
  if (!isSmall) return undefined;
  const rows = records.map(({ key, revision, upstream }) => [
    key,
    revision,
    upstream ? formatUpstream(upstream) : null,
  ]);
  return formatBody(rows).length <= MAX_UPDATE_BYTES ? rows : undefined;
}

/** Formats an update; `rows` is the result of `formatRecords`. */
export function formatRecordUpdate(
  { id, baseRevision, revision, claim }: Omit<RecordUpdate, 'records'>,
  rows: readonly unknown[] | undefined,
): Buffer {
  const claimRow = claim ? [Math.round(claim.ageMs), claim.sourceId] : null;
  return formatBody([id, baseRevision, revision, claimRow, rows ?? null]);
}

/** Parses an update; undefined if the body is not a valid update. */
export function parseRecordUpdate(body: Buffer): RecordUpdate | undefined {
  const parsed = parseBody(body, recordUpdateSchema);
  if (!parsed) return undefined;
  const [id, baseRevision, revision, claimRow, rows] = parsed;
  const claim = claimRow ? { ageMs: claimRow[0], sourceId: claimRow[1] } : undefined;
  const records = rows?.map(([key, recordRevision, row]) => ({
    key,
    revision: recordRevision,
    upstream: row ? parseUpstream(row) : undefined,
  }));
  return { id, baseRevision, revision, claim, records };
}
