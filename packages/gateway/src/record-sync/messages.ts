/**
 * The datagrams that replicate changes of records between daemons. A poll states what a daemon knows
 * of the store's history. An update contains the changes beyond that, or says that they are too
 * large for a datagram and must be fetched.
 */
import {
  ageField,
  buildTolerantList,
  eraField,
  knownRevisionsSchema,
  nameField,
  registeredUpstreamSchema,
  revisionField,
} from '@baobabline/core';
import type { EraStarts, FreshnessClaim, KnownRevisions, PublishedRecord } from '@baobabline/core';
import * as z from 'zod';

import { formatBody, parseBody } from '../datagrams/index.js';

export type Poll = {
  readonly id: string;
  /** What the daemon knows of the store's history. */
  readonly known: KnownRevisions;
  /** Whether it wants updates pushed as changes occur, until its subscription expires. */
  readonly wantsPush: boolean;
  /** Whether the receiver should read the store for it, as a helper or a substitute. */
  readonly needsHelpers: boolean;
};

export type RecordUpdate = {
  readonly id: string;
  /** The records are the changes that a daemon with this knowledge lacks. */
  readonly base: KnownRevisions;
  readonly known: KnownRevisions;
  readonly eras: EraStarts;
  readonly claim: FreshnessClaim | undefined;
  /** Undefined if the changes do not fit into a datagram and must be fetched. */
  readonly records: readonly PublishedRecord[] | undefined;
};

/** Larger datagrams would be fragmented, and the loss of one fragment loses the datagram. */
const MAX_UPDATE_BYTES = 1200;
/** A record takes about 100 bytes. */
const MAX_UPDATE_RECORDS = 12;
/** Another version of the daemon may send more. */
const MAX_ROWS = 1000;

const pollSchema = z.tuple([nameField, knownRevisionsSchema, z.boolean(), z.boolean()]);

const upstreamFields = registeredUpstreamSchema.shape;

const upstreamRowSchema = z.tuple([
  upstreamFields.id,
  upstreamFields.service,
  upstreamFields.address,
  upstreamFields.port,
  upstreamFields.dataCentre,
  upstreamFields.slots,
  z.boolean(),
  upstreamFields.warmUpMs,
  upstreamFields.bornAt,
]);

/** A row with a field out of range counts as none, as for a record without an upstream. */
const recordRowSchema = z.tuple([
  nameField,
  eraField,
  revisionField,
  upstreamRowSchema.nullable().catch(null),
]);

const recordUpdateSchema = z.tuple([
  nameField,
  knownRevisionsSchema,
  knownRevisionsSchema,
  knownRevisionsSchema,
  z.tuple([ageField, nameField]).nullable(),
  buildTolerantList(recordRowSchema, MAX_ROWS).nullable(),
]);

type UpstreamRow = z.infer<typeof upstreamRowSchema>;

function formatUpstream(upstream: NonNullable<PublishedRecord['upstream']>): UpstreamRow {
  const { id, service, address, port, dataCentre, slots, state, warmUpMs, bornAt } = upstream;
  return [id, service, address, port, dataCentre, slots, state === 'draining', warmUpMs, bornAt];
}

function parseUpstream(row: UpstreamRow): NonNullable<PublishedRecord['upstream']> {
  const [id, service, address, port, dataCentre, slots, isDraining, warmUpMs, bornAt] = row;
  return {
    id,
    service,
    address,
    port,
    dataCentre,
    slots,
    state: isDraining ? 'draining' : 'ready',
    warmUpMs,
    bornAt,
  };
}

export function formatPoll({ id, known, wantsPush, needsHelpers }: Poll): Buffer {
  return formatBody([id, known, wantsPush, needsHelpers]);
}

/** Parses a poll; undefined if the body is not a valid poll. */
export function parsePoll(body: Buffer): Poll | undefined {
  const parsed = parseBody(body, pollSchema);
  if (!parsed) return undefined;
  const [id, known, wantsPush, needsHelpers] = parsed;
  return { id, known, wantsPush, needsHelpers };
}

/** Formats the records of an update for reuse; undefined if they do not fit into a datagram. */
export function formatRecords(records: readonly PublishedRecord[]): readonly unknown[] | undefined {
  const isSmall =
    records.length <= MAX_UPDATE_RECORDS && records.every(({ configuration }) => !configuration);
  if (!isSmall) return undefined;
  const rows = records.map(({ key, era, revision, upstream }) => [
    key,
    era,
    revision,
    upstream ? formatUpstream(upstream) : null,
  ]);
  return formatBody(rows).length <= MAX_UPDATE_BYTES ? rows : undefined;
}

/** Formats an update; `rows` is the result of `formatRecords`. */
export function formatRecordUpdate(
  { id, base, known, eras, claim }: Omit<RecordUpdate, 'records'>,
  rows: readonly unknown[] | undefined,
): Buffer {
  const claimRow = claim ? [Math.round(claim.ageMs), claim.sourceId] : null;
  return formatBody([id, base, known, eras, claimRow, rows ?? null]);
}

/** Parses an update; undefined if the body is not a valid update. */
export function parseRecordUpdate(body: Buffer): RecordUpdate | undefined {
  const parsed = parseBody(body, recordUpdateSchema);
  if (!parsed) return undefined;
  const [id, base, known, eras, claimRow, rows] = parsed;
  const claim = claimRow ? { ageMs: claimRow[0], sourceId: claimRow[1] } : undefined;
  const records = rows?.map(([key, era, revision, row]) => ({
    key,
    era,
    revision,
    upstream: row ? parseUpstream(row) : undefined,
  }));
  return { id, base, known, eras, claim, records };
}
