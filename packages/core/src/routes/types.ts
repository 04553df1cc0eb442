/**
 * The operators' routing configuration: which requests go to which services, the time limits of
 * each route, and the limits on callers. The types are inferred from the schemas.
 */
import * as z from 'zod';

import { clientAccountsSchema } from '../accounts/index.js';
import {
  counterField,
  durationField,
  MAX_PARTS,
  MAX_ROUTES,
  pathPrefixField,
  priorityField,
  textField,
  weightField,
} from '../untrusted/index.js';

/**
 * `safe` and `download` requests may run more than once; `unsafe` and `upload` run at most once. Uploads
 * have large requests, downloads large answers.
 */
export const ROUTE_KINDS = ['safe', 'unsafe', 'upload', 'download'] as const;

const routePartSchema = z.object({
  service: textField,
  /** Share of the route's requests, relative to the other parts. */
  weight: weightField,
});

const routeSchema = z.object({
  /** Stays the same across configurations; all other fields of a route may change. */
  id: textField,
  /** Host name in lower case, without a port. */
  host: textField,
  /** Prefix of the request's path. Begins and ends with a slash. */
  prefix: pathPrefixField,
  kind: z.enum(ROUTE_KINDS),
  parts: z.array(routePartSchema).min(1).max(MAX_PARTS),
  /** Longest time that a caller waits for an answer. */
  timeoutMs: durationField,
  /** Latency up to which an answer has its full value to the caller. */
  targetLatencyMs: durationField,
  /** Most upstreams to which one request may be sent. */
  maxAttempts: z.int().min(1),
  /** 0 is the most urgent. */
  priority: priorityField,
  /** Whether requests need no key, although there are accounts. */
  isPublic: z.boolean().optional(),
});

const callerLimitsSchema = z.object({
  maxHeaderBytes: z.int().positive(),
  maxBodyBytes: z.int().min(0),
  headerTimeoutMs: durationField,
  /** Longest time that a caller's connection may stay idle. */
  idleTimeoutMs: durationField,
});

export const routingConfigurationSchema = z.object({
  /** Only the version orders configurations; a lower one never replaces a higher one. */
  version: counterField,
  routes: z.array(routeSchema).max(MAX_ROUTES),
  limits: callerLimitsSchema,
  /**
   * The client accounts whose keys requests have to bear; undefined if requests need no key. A daemon
   * of an earlier version leaves them out.
   */
  accounts: clientAccountsSchema.optional(),
});

export type RouteKind = (typeof ROUTE_KINDS)[number];
export type RoutePart = Readonly<z.infer<typeof routePartSchema>>;
export type Route = Readonly<z.infer<typeof routeSchema>>;
export type CallerLimits = Readonly<z.infer<typeof callerLimitsSchema>>;
export type RoutingConfiguration = Readonly<z.infer<typeof routingConfigurationSchema>>;

/** Whether a request of this kind may run more than once. */
export function isRepeatableKind(kind: RouteKind): boolean {
  return kind === 'safe' || kind === 'download';
}
