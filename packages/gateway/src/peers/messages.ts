/**
 * Messages between gateway daemons, checked on arrival.
 */
import { recordSchema } from '@baobabline/core';
import { z } from 'zod';

/** Asks for records after a revision, and waits for them for a while. */
export const followSchema = z.object({
  revision: z.number(),
  waitMs: z.number().min(0).max(2000),
});

export const changesSchema = z.object({
  records: z.array(recordSchema),
  revision: z.number(),
  isWhole: z.boolean(),
});

const outcomeSchema = z.object({
  upstreamId: z.string(),
  isGood: z.boolean(),
  /** How long ago the attempt ended, in milliseconds. */
  ageMs: z.number().min(0),
});

/** What a dispatcher tells the others many times a second. */
export const reportSchema = z.object({
  reporterId: z.string(),
  /** The revision up to which the reporter knows all records. */
  revision: z.number(),
  /** Upstream ids and the requests that the reporter has in flight there. */
  inFlight: z.array(z.tuple([z.string(), z.number()])),
  outcomes: z.array(outcomeSchema),
});

export type FollowRequest = Readonly<z.infer<typeof followSchema>>;
export type DispatcherReport = Readonly<z.infer<typeof reportSchema>>;
export type ReportedOutcome = Readonly<z.infer<typeof outcomeSchema>>;
