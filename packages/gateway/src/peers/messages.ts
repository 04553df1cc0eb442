/**
 * Messages between gateway daemons, checked on arrival.
 */
import { recordSchema } from '@baobabline/core';
import { memberSchema } from '@baobabline/daemon';
import * as z from 'zod';

/** Asks for records after a revision, and waits for them for a while. */
export const followSchema = z.object({
  revision: z.number(),
  waitMs: z.number().min(0).max(2000),
});

export type FollowRequest = Readonly<z.infer<typeof followSchema>>;

/** Changes, and the member that tells them as it is now. */
export const followAnswerSchema = z.object({
  changes: z.object({
    records: z.array(recordSchema).readonly(),
    revision: z.number(),
    isWhole: z.boolean(),
  }),
  from: memberSchema,
  /** Whether the store answers that member itself, so that it knows what is published now. */
  isCurrent: z.boolean(),
});

export type FollowAnswer = Readonly<z.infer<typeof followAnswerSchema>>;
