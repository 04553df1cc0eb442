/**
 * Settings of a gateway daemon: where it listens, where it is, whom it finds first, and the bounds
 * that the users set. Unknown fields are refused, and every fault is named at once.
 */
import { checkShape, formatFault } from '@baobabline/core';
import { logSchema, SettingsError } from '@baobabline/daemon';
import * as z from 'zod';

const endpointSchema = z.strictObject({
  address: z.union([z.ipv4(), z.ipv6()], 'must be an IP address'),
  port: z.int().min(0).max(65_535),
});

const boundsSchema = z.strictObject({
  /** Repeats allowed for each request to a service, within the window. */
  retryRatio: z.number().min(0).max(1).default(0.2),
  /** Repeats allowed to the whole fleet on top, within the window. */
  retrySlack: z.number().min(0).default(50),
  retryWindowMs: z.number().positive().default(10_000),
  /** Time from the request to stop until the process is killed. */
  stopGraceMs: z.number().positive().default(6000),
  /** Longest time for which callers keep a directory answer. */
  maxDirectoryHoldMs: z.number().positive().default(5000),
});

const machineSchema = z.strictObject({
  /** Cores, in fractions, that the daemon may use. */
  cores: z.number().positive().default(1),
  linkMegabitsPerSecond: z.number().positive().default(1000),
});

export const gatewaySettingsSchema = z.strictObject({
  id: z.string().min(1),
  dataCentre: z.string().min(1),
  callers: endpointSchema,
  /** Where callers ask which daemons to use, and where readiness is told. */
  directory: endpointSchema,
  readiness: endpointSchema,
  /** Where the other daemons reach this one. */
  peers: endpointSchema,
  /** Where dispatchers send their reports, by UDP; the port is the same on all VMs. */
  reports: endpointSchema,
  /** Where Prometheus finds the metrics; none are served without it. */
  metrics: endpointSchema.optional(),
  /** Daemons that are asked first; they may be gone or out of date. */
  seeds: z.array(endpointSchema).default([]),
  bounds: boundsSchema.prefault({}),
  machine: machineSchema.prefault({}),
  /** Dispatchers that callers of a data centre are sent to at least; more as load needs them. */
  dispatchersPerDataCentre: z.int().min(1).default(1),
  /** How long callers keep a directory answer, in seconds. */
  directoryHoldSeconds: z.number().positive().default(1),
  maxHeldBytes: z
    .int()
    .positive()
    .default(96 * 1024 * 1024),
  logs: logSchema.prefault({}),
});

export type GatewaySettings = Readonly<z.infer<typeof gatewaySettingsSchema>>;
export type GatewayEndpoint = Readonly<z.infer<typeof endpointSchema>>;

/** Checks settings as read from JSON. Throws SettingsError. */
export function parseGatewaySettings(value: unknown): GatewaySettings {
  const checked = checkShape(gatewaySettingsSchema, value);
  if (!checked.ok) throw new SettingsError(checked.faults.map(formatFault).join('\n'));
  return checked.value;
}
