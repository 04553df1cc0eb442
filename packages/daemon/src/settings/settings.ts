/**
 * A daemon's settings: where it listens, where it is, and where peers and the platform are found.
 * The check reports every fault at once and refuses unknown fields.
 */
import {
  BaseError,
  checkShape,
  formatFault,
  ROUTING_POLICIES,
  SUSPICION_POLICIES,
} from '@baobabline/core';
import type { ValidationFault } from '@baobabline/core';
import { readFile } from 'node:fs/promises';
import * as z from 'zod';

const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    'must be 1 to 63 of a-z 0-9 . _ - and start with a-z or 0-9',
  );

const addressSchema = z.union([z.ipv4(), z.ipv6()], 'must be an IP address');

const endpointSchema = z.strictObject({
  address: addressSchema,
  port: z.int().min(1).max(65535),
});

const listenSchema = z.strictObject({
  address: addressSchema,
  /** 0 lets the operating system choose. */
  port: z.int().min(0).max(65535),
});

const overrideSchema = z.strictObject({ from: endpointSchema, to: endpointSchema });

const tlsSchema = z.strictObject({
  certificate: z.string().includes('BEGIN CERTIFICATE', 'must be a PEM certificate'),
  privateKey: z.string().includes('PRIVATE KEY', 'must be a PEM private key'),
});

export const logSchema = z.strictObject({
  level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
  /** Share of routing decisions that are logged, from 0 to 1. */
  decisionSampling: z.number().min(0).max(1).default(1),
  /** Lines beyond are left out and counted; a daemon at its limit of requests writes half of it. */
  maxLinesPerSecond: z.int().min(1).default(4000),
});

export const settingsSchema = z.strictObject({
  id: nameSchema,
  dataCentre: nameSchema,
  callers: listenSchema,
  peers: listenSchema,
  operators: listenSchema,
  seeds: z.array(endpointSchema).default([]),
  configurationService: endpointSchema,
  vmListService: endpointSchema,
  logs: logSchema.prefault({}),
  tls: tlsSchema.optional(),
  /** Addresses that this daemon reaches by another way, as behind address translation. */
  connectOverrides: z.array(overrideSchema).default([]),
  /** How long callers keep an entry answer; a planned stop waits at least as long. */
  entryHoldSeconds: z.number().min(0.5).max(60).default(5),
  /** How long an idempotency key may be used after it was issued; a planned stop waits as long. */
  keyLifeSeconds: z.number().min(5).max(3600).default(60),
  /** How upstreams are judged; the second way is there to be measured against. */
  suspicion: z.enum(SUSPICION_POLICIES).default('pooled'),
  /** How slots are shared; all but the first are there to be measured against. */
  routing: z.enum(ROUTING_POLICIES).default('owned-slots'),
  /** Bound of a planned stop; the default outlasts the longest deadline and entry answer. */
  maxStopSeconds: z.number().min(1).max(600).default(200),
  maxBodyBytes: z
    .int()
    .min(1024)
    .max(64 * 1024 * 1024)
    .default(16 * 1024 * 1024),
  /** An answer is held until it is whole up to this size; longer ones are passed on as they come. */
  maxHeldAnswerBytes: z
    .int()
    .min(0)
    .max(64 * 1024 * 1024)
    .default(8 * 1024 * 1024),
});

export type Settings = z.infer<typeof settingsSchema>;

export type Endpoint = z.infer<typeof endpointSchema>;

/** Settings that may not be used, with all faults. */
export const SettingsError = BaseError.subclass('SettingsError');

function createSettingsError(
  faults: readonly ValidationFault[],
): InstanceType<typeof SettingsError> {
  return new SettingsError(faults.map(formatFault).join('\n'));
}

/** Checks settings as read from JSON. Throws SettingsError. */
export function parseSettings(value: unknown): Settings {
  const checked = checkShape(settingsSchema, value);
  if (!checked.ok) throw createSettingsError(checked.faults);
  return checked.value;
}

function parseJson(file: string, text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    const allowed = `JSON (${(error as Error).message})`;
    throw createSettingsError([{ field: file, value: 'the file', allowed }]);
  }
}

/** Reads and checks a settings file. Throws SettingsError. */
export async function loadSettings(file: string): Promise<Settings> {
  const text = await readFile(file, 'utf8').catch((error: Error) => {
    throw createSettingsError([{ field: file, value: 'the file', allowed: error.message }]);
  });
  return parseSettings(parseJson(file, text));
}

/** The JSON Schema of the settings, for editors. */
export function buildSettingsSchema(): unknown {
  return z.toJSONSchema(settingsSchema, { io: 'input' });
}
