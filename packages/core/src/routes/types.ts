/**
 * The operators' routing configuration: which requests go to which services, the time limits of
 * each route, and the limits on callers. The types are inferred from the schemas.
 */
import * as z from 'zod';

/** `safe` requests may run more than once; `unsafe` and `upload` run at most once. */
export const ROUTE_KINDS = ['safe', 'unsafe', 'upload'] as const;

const routePartSchema = z.object({
  service: z.string().min(1),
  /** Share of the route's requests, relative to the other parts. */
  weight: z.number().min(0),
});

const routeSchema = z.object({
  /** Stays the same across configurations; all other fields of a route may change. */
  id: z.string().min(1),
  /** Host name in lower case, without a port. */
  host: z.string().min(1),
  /** Prefix of the request's path. Begins and ends with a slash. */
  prefix: z.string().regex(/^\/(.*\/)?$/, 'must begin and end with a slash'),
  kind: z.enum(ROUTE_KINDS),
  parts: z.array(routePartSchema).min(1),
  /** Longest time that a caller waits for an answer. */
  timeoutMs: z.number().positive(),
  /** Latency up to which an answer has its full value to the caller. */
  targetLatencyMs: z.number().positive(),
  /** Most upstreams to which one request may be sent. */
  maxAttempts: z.int().min(1),
  /** 0 is the most urgent. */
  priority: z.int().min(0),
});

const callerLimitsSchema = z.object({
  maxHeaderBytes: z.int().positive(),
  maxBodyBytes: z.int().min(0),
  headerTimeoutMs: z.number().positive(),
  /** Longest time that a caller's connection may stay idle. */
  idleTimeoutMs: z.number().positive(),
});

export const routingConfigurationSchema = z.object({
  /** Only the version orders configurations; a lower one never replaces a higher one. */
  version: z.int().min(0),
  routes: z.array(routeSchema),
  limits: callerLimitsSchema,
});

export type RouteKind = (typeof ROUTE_KINDS)[number];
export type RoutePart = Readonly<z.infer<typeof routePartSchema>>;
export type Route = Readonly<z.infer<typeof routeSchema>>;
export type CallerLimits = Readonly<z.infer<typeof callerLimitsSchema>>;
export type RoutingConfiguration = Readonly<z.infer<typeof routingConfigurationSchema>>;
