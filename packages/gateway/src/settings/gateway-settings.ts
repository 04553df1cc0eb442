/**
 * Settings of a gateway daemon: its listeners, its data centre, the peers to contact first, and
 * operating limits. Unknown fields are rejected, and all faults are reported together.
 */
import {
  checkShape,
  DEFAULT_FAR_PLACEMENT_SETTINGS,
  formatFault,
  ipAddressField,
  listenPortField,
  nameField,
} from '@baobabline/core';
import { logSchema, SettingsError } from '@baobabline/daemon';
import * as z from 'zod';

const endpointSchema = z.strictObject({
  address: ipAddressField,
  port: listenPortField,
});

const boundsSchema = z.strictObject({
  /** Retries allowed per request to a service, within the window. */
  retryRatio: z.number().min(0).max(1).default(0.2),
  /** Additional retries allowed to the whole fleet, within the window. */
  retrySlack: z.number().min(0).default(50),
  retryWindowMs: z.number().positive().default(10_000),
  /** How often upstreams that are alive register again. */
  registrationIntervalMs: z.number().positive().default(1500),
  /** Time from the stop signal until the process is killed. */
  stopGraceMs: z.number().positive().default(6000),
  /** Longest time for which callers may cache a directory response. */
  maxDirectoryHoldMs: z.number().positive().default(5000),
  /** Whether a removed key must be refused everywhere within a time, in touch with the store or not. */
  isRevocationStrict: z.boolean().default(false),
  /** Time from the removal of a key until no request that bears it may be sent to an upstream. */
  revocationMs: z.number().positive().default(5000),
  /** Any span of this length counts for the quotas of client accounts. */
  quotaWindowMs: z.number().positive().default(5000),
  /** Share by which the requests of an account may exceed its quota within the window. */
  quotaOvershoot: z.number().min(0).default(0),
  /** Requests of an account that may come on top within the window. */
  quotaSlack: z.number().min(0).default(0),
});

const machineSchema = z.strictObject({
  /** CPU cores that the daemon may use; may be fractional. */
  cores: z.number().positive().default(1),
  linkMegabitsPerSecond: z.number().positive().default(1000),
  /** Memory that the process may use; undefined if the settings do not say. */
  memoryMegabytes: z.number().positive().optional(),
});

const farPlacementSchema = z.strictObject({
  /** Cost of a megabyte sent to or from another data centre, in answers in time. */
  costPerMegabyte: z.number().min(0).default(DEFAULT_FAR_PLACEMENT_SETTINGS.costPerMegabyte),
  /** Largest share of a dispatcher's requests to a service that may leave the data centre. */
  maxShare: z.number().min(0).max(1).default(DEFAULT_FAR_PLACEMENT_SETTINGS.maxShare),
  /** Routes with answers of this size leave only if the request would be refused otherwise. */
  largeAnswerBytes: z.number().positive().default(DEFAULT_FAR_PLACEMENT_SETTINGS.largeAnswerBytes),
});

export const gatewaySettingsSchema = z.strictObject({
  id: nameField,
  dataCentre: nameField,
  callers: endpointSchema,
  /** Where callers ask which daemons to connect to. */
  directory: endpointSchema,
  /** Where readiness checks are answered. */
  readiness: endpointSchema,
  /** Where other daemons connect to this one. */
  peers: endpointSchema,
  /** UDP address for reports of dispatchers and gossip; the port is the same on all VMs. */
  reports: endpointSchema,
  /** Where Prometheus scrapes the metrics; if absent, none are served. */
  metrics: endpointSchema.optional(),
  /** Daemons contacted first to join the fleet; they may be gone or out of date. */
  seeds: z.array(endpointSchema).default([]),
  bounds: boundsSchema.prefault({}),
  machine: machineSchema.prefault({}),
  /**
   * Decides for each request whether it pays to send it to another data centre. If absent, a far
   * upstream has a fixed cost.
   */
  farPlacement: farPlacementSchema.optional(),
  /** Minimum number of dispatchers per data centre; more are used as load requires. */
  dispatchersPerDataCentre: z.int().min(1).default(1),
  /** How long callers may cache a directory response, in seconds. */
  directoryHoldSeconds: z.number().positive().default(1),
  /** Bytes of all requests and answers held at the same time; less on a VM with little memory. */
  maxHeldBytes: z
    .int()
    .positive()
    .default(96 * 1024 * 1024),
  logs: logSchema.prefault({}),
});

export type GatewaySettings = Readonly<z.infer<typeof gatewaySettingsSchema>>;
export type GatewayEndpoint = Readonly<z.infer<typeof endpointSchema>>;

/** Validates settings parsed from JSON. Throws SettingsError, with one line for each fault. */
export function parseGatewaySettings(value: unknown): GatewaySettings {
  const checked = checkShape(gatewaySettingsSchema, value);
  if (!checked.ok) throw new SettingsError(checked.faults.map(formatFault).join('\n'));
  return checked.value;
}
