/**
 * What daemons know of the world outside and pass on to each other: the routing configuration and
 * the registered upstreams, each as the published record of a key at a revision.
 */
import * as z from 'zod';

import { routingConfigurationSchema } from '../routes/index.js';

export const registeredUpstreamSchema = z.object({
  /** Identity of one start of an upstream; mostly new after a restart, but not always. */
  id: z.string().min(1),
  service: z.string().min(1),
  address: z.string().min(1),
  port: z.int().min(1).max(65_535),
  dataCentre: z.string(),
  /** Requests that it runs at the same time. */
  slots: z.int().min(1),
  state: z.enum(['ready', 'draining']),
  /** How much longer it was slow after its start, when the record was written. */
  warmUpMs: z.number().min(0),
  /** Unix milliseconds of its start; tells two starts under one id apart. */
  bornAt: z.number(),
});

export const recordSchema = z.object({
  key: z.string(),
  /** Revision of the last change; a record replaces one of the same key with a lower revision. */
  revision: z.number(),
  /** Absent where the key was removed, or holds nothing that can be used. */
  upstream: registeredUpstreamSchema.optional(),
  configuration: routingConfigurationSchema.optional(),
});

export type RegisteredUpstream = Readonly<z.infer<typeof registeredUpstreamSchema>>;
export type KnownRecord = Readonly<z.infer<typeof recordSchema>>;

/** Records that a replica lacks, and the revision that it is complete at once it has them. */
export type Changes = {
  readonly records: readonly KnownRecord[];
  readonly revision: number;
  /** Whether `records` is all there is, so that keys it does not name are gone. */
  readonly isWhole: boolean;
};
