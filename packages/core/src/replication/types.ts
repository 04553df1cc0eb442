/**
 * Records that the platform's store publishes and that daemons replicate: the routing configuration
 * and the registered upstreams. Each record is the content of one key at one revision of an era.
 */
import * as z from 'zod';

import { routingConfigurationSchema } from '../routes/index.js';
import {
  dateField,
  durationField,
  eraField,
  headerTextField,
  ipAddressField,
  labelField,
  nameField,
  portField,
  revisionField,
  slotsField,
} from '../untrusted/index.js';
import type { KnownRevisions } from './known-revisions.js';
import type { EraStarts, StorePosition } from './eras.js';

export const registeredUpstreamSchema = z.object({
  /** Identifies one start of an upstream; usually, but not always, new after a restart. */
  id: headerTextField,
  service: nameField,
  address: ipAddressField,
  port: portField,
  dataCentre: labelField,
  /** Maximum number of concurrent requests. */
  slots: slotsField,
  state: z.enum(['ready', 'draining']),
  /** Remaining warm-up time at the moment when the record was written. */
  warmUpMs: durationField,
  /** Start in Unix milliseconds; distinguishes two starts under the same id. */
  bornAt: dateField,
});

export const recordSchema = z.object({
  key: nameField,
  /** Era of the store in which the record was read. */
  era: eraField,
  /** Revision of the last change in that era. */
  revision: revisionField,
  /**
   * Absent if the key was removed or its value is unusable, and for a configuration record. A value
   * that only this daemon finds unusable counts as absent, so that the other records hold.
   */
  upstream: registeredUpstreamSchema.optional().catch(undefined),
  configuration: routingConfigurationSchema.optional().catch(undefined),
});

export type RegisteredUpstream = Readonly<z.infer<typeof registeredUpstreamSchema>>;
export type PublishedRecord = Readonly<z.infer<typeof recordSchema>>;

/** A record as the store gives it, without the era, which the answer states once. */
export type StoredRecord = Omit<PublishedRecord, 'era'>;

/** All records of the store or the changes since a revision, from one answer of the store. */
export type StoreChanges = {
  readonly records: readonly StoredRecord[];
  /** Revision of the store up to which the records are complete. */
  readonly revision: number;
  /** Whether `records` holds all records, so that keys missing from it were removed. */
  readonly isWhole: boolean;
};

/** A snapshot of all records of a daemon, or the changes that another one does not know. */
export type RecordChanges = {
  readonly records: readonly PublishedRecord[];
  /** What the daemon knows that sends the changes. */
  readonly known: KnownRevisions;
  readonly eras: EraStarts;
  /** Where the last read of the whole store stands that showed which keys are missing. */
  readonly completeAt: StorePosition | undefined;
  /** Whether `records` is a snapshot of all records, so that keys missing from it were removed. */
  readonly isWhole: boolean;
};

/** Where the configuration in force at a daemon stands in the history of the store. */
export type ConfigurationPosition = StorePosition & {
  readonly version: number;
  /** The eras that the daemon knows, with their bounds. */
  readonly eras: EraStarts;
};
