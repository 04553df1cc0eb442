/**
 * Schemas of the lists. Unknown fields are refused, so that a misspelt field is not silently
 * ignored.
 */
import * as z from 'zod';

const MAX_BODY_BYTES_LIMIT = 64 * 1024 * 1024;
const DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024;

/** The characters are restricted since names appear in headers, paths and log lines. */
const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    'must be 1 to 63 of a-z 0-9 . _ - and start with a-z or 0-9',
  );

const kindSchema = z.strictObject({
  name: nameSchema,
  weight: z.number().positive().max(1000),
  repeatable: z.boolean().optional(),
});

const serviceSchema = z.strictObject({
  name: nameSchema,
  kinds: z.array(kindSchema).min(1),
  floorSlots: z.int().min(0),
  detectionWeight: z.number().min(0).max(100).default(1),
  falseEjectionWeight: z.number().min(0).max(100).default(1),
  maxBodyBytes: z.int().min(0).max(MAX_BODY_BYTES_LIMIT).default(DEFAULT_MAX_BODY_BYTES),
});

export const planSchema = z.strictObject({
  id: nameSchema,
  ratePerSecond: z.number().positive(),
  burst: z.number().positive(),
  share: z.number().positive().default(1),
  services: z.array(serviceSchema).min(1),
});

export const customerSchema = z.strictObject({ id: nameSchema, plan: nameSchema });

export const listsSchema = z.strictObject({
  version: z.int().min(1),
  customers: z.array(customerSchema),
  plans: z.array(planSchema),
});

const vmStateSchema = z.enum(['live', 'leaving']);
const addressSchema = z.union([z.ipv4(), z.ipv6()]);
const portSchema = z.int().min(1).max(65535);

const upstreamSchema = z.strictObject({
  id: nameSchema,
  address: addressSchema,
  port: portSchema,
  dataCentre: nameSchema,
  service: nameSchema,
  slots: z.int().min(1).max(1024),
  connections: z.int().min(1).default(330),
  state: vmStateSchema.default('live'),
});

const entryVmSchema = z.strictObject({
  id: nameSchema,
  address: addressSchema,
  peerPort: portSchema,
  callerPort: portSchema,
  dataCentre: nameSchema,
  state: vmStateSchema.default('live'),
});

export const vmListSchema = z.strictObject({
  version: z.int().min(1),
  upstreams: z.array(upstreamSchema),
  entryVms: z.array(entryVmSchema).default([]),
});
