/**
 * Schemas of the messages that gateway daemons exchange by HTTP because they are too large for a
 * datagram.
 */
import { recordSchema } from '@baobabline/core';
import * as z from 'zod';

/** Requests the changes of records after a revision. */
export const recordsRequestSchema = z.object({ revision: z.number() });

export type RecordsRequest = Readonly<z.infer<typeof recordsRequestSchema>>;

export const changesSchema = z.object({
  records: z.array(recordSchema).readonly(),
  revision: z.number(),
  isWhole: z.boolean(),
});
