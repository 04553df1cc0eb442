/**
 * The datagrams by which daemons learn of changes of the records: a poll says what a daemon knows,
 * news bring what it lacks, or say that it has to be fetched since it is too large.
 */
import { registeredUpstreamSchema } from '@baobabline/core';
import type { FreshnessClaim, PublishedRecord } from '@baobabline/core';
import * as z from 'zod';

import { formatBody, parseBody } from '../datagrams/index.js';

export type Poll = {
  readonly id: string;
  /** Revision up to which the daemon knows all changes. */
  readonly revision: number;
  /** Whether it wants news as they come, until its next poll is overdue. */
  readonly wantsPush: boolean;
  /** Whether it should read the store and cannot. */
  readonly needsHelpers: boolean;
};

export type RecordUpdate = {
  readonly id: string;
  /** The records are what changed after this revision. */
  readonly baseRevision: number;
  readonly revision: number;
  readonly claim: FreshnessClaim | undefined;
  /** Absent where the changes do not fit into a datagram. */
  readonly records: readonly PublishedRecord[] | undefined;
};

/** Larger datagrams would be cut into packets, each of which may be lost. */
const MAX_UPDATE_BYTES = 1200;
/** A record is about a hundred bytes. */
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

/** Reads a row; undefined, which names no upstream, where a field is out of its range. */
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

/** Reads a poll; undefined if it is none. */
export function parsePoll(body: Buffer): Poll | undefined {
  const parsed = parseBody(body, pollSchema);
  if (!parsed) return undefined;
  const [id, revision, wantsPush, isCutOff] = parsed;
  return { id, revision, wantsPush, needsHelpers: isCutOff };
}

/** Formats the records of news, once for many; undefined where they do not fit. */
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

/** Formats news; `rows` are the records as formatted by `formatRecords`. */
export function formatRecordUpdate(
  { id, baseRevision, revision, claim }: Omit<RecordUpdate, 'records'>,
  rows: readonly unknown[] | undefined,
): Buffer {
  const claimRow = claim ? [Math.round(claim.ageMs), claim.sourceId] : null;
  return formatBody([id, baseRevision, revision, claimRow, rows ?? null]);
}

/** Reads news; undefined if they are none. */
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
