/**
 * Messages between gateway daemons, checked on arrival.
 */
import * as z from 'zod';

/** Asks for records after a revision, and waits for them for a while. */
export const followSchema = z.object({
  revision: z.number(),
  waitMs: z.number().min(0).max(2000),
});

export type FollowRequest = Readonly<z.infer<typeof followSchema>>;
