/**
 * Records that the platform's store publishes and that daemons replicate: the routing configuration
 * and the registered upstreams. Each record is the content of one key at one revision.
 */
import * as z from 'zod';

import { routingConfigurationSchema } from '../routes/index.js';

export const registeredUpstreamSchema = z.object({
  /** Identifies one start of an upstream; usually, but not always, new after a restart. */
  id: z.string().min(1),
  service: z.string().min(1),
  address: z.string().min(1),
  port: z.int().min(1).max(65_535),
  dataCentre: z.string(),
  /** Maximum number of concurrent requests. */
  slots: z.int().min(1),
  state: z.enum(['ready', 'draining']),
  /** Remaining warm-up time at the moment when the record was written. */
  warmUpMs: z.number().min(0),
  /** Start in Unix milliseconds; distinguishes two starts under the same id. */
  bornAt: z.number(),
});

export const recordSchema = z.object({
  key: z.string(),
  /** Revision of the last change; a record replaces a record of its key with a lower revision. */
  revision: z.number(),
  /** Absent if the key was removed or its value is unusable, and for a configuration record. */
  upstream: registeredUpstreamSchema.optional(),
  configuration: routingConfigurationSchema.optional(),
});

export type RegisteredUpstream = Readonly<z.infer<typeof registeredUpstreamSchema>>;
export type PublishedRecord = Readonly<z.infer<typeof recordSchema>>;

/** A snapshot of all records or the changes since a revision; complete up to `revision`. */
export type RecordChanges = {
  readonly records: readonly PublishedRecord[];
  readonly revision: number;
  /** Whether `records` is a snapshot of all records, so that keys missing from it were removed. */
  readonly isWhole: boolean;
};
