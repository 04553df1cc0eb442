/**
 * Schemas of the messages that gateway daemons exchange by HTTP because they are too large for a
 * datagram.
 */
import {
  buildTolerantList,
  eraField,
  knownRevisionsSchema,
  MAX_RECORDS,
  recordSchema,
  revisionField,
} from '@baobabline/core';
import * as z from 'zod';

/** Requests the changes of records that the sender does not know. */
export const recordsRequestSchema = z.object({ known: knownRevisionsSchema });

export type RecordsRequest = Readonly<z.infer<typeof recordsRequestSchema>>;

export const changesSchema = z.object({
  records: buildTolerantList(recordSchema, MAX_RECORDS),
  known: knownRevisionsSchema,
  eras: knownRevisionsSchema,
  completeAt: z.object({ era: eraField, revision: revisionField }).optional(),
  isWhole: z.boolean(),
  /** How the daemon decodes records; absent in versions before the first format. */
  format: z.int().optional(),
});
