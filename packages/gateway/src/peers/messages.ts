/**
 * What gateway daemons fetch from each other because it is too large for a datagram, checked on
 * arrival.
 */
import { recordSchema } from '@baobabline/core';
import * as z from 'zod';

/** Asks for the records after a revision. */
export const recordsRequestSchema = z.object({ revision: z.number() });

export type RecordsRequest = Readonly<z.infer<typeof recordsRequestSchema>>;

export const changesSchema = z.object({
  records: z.array(recordSchema).readonly(),
  revision: z.number(),
  isWhole: z.boolean(),
});
