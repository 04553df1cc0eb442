/**
 * Client accounts: who may send requests, by which keys, how many requests a second, and how urgent
 * they are. Keys are known by their digests alone, so that no message or log of a daemon can hold one.
 */
import * as z from 'zod';

import {
  allowedRateField,
  MAX_ACCOUNTS,
  MAX_KEYS_PER_ACCOUNT,
  priorityField,
  textField,
} from '../untrusted/index.js';

/** SHA-256 in base64url without padding. */
const KEY_DIGEST_PATTERN = /^[A-Za-z0-9_-]{43}$/;

const clientAccountSchema = z.object({
  /** Sent to upstreams in a header; a platform encodes what a header cannot hold. */
  name: textField.min(1),
  keyDigests: z
    .array(z.string().regex(KEY_DIGEST_PATTERN, 'must be a digest'))
    .max(MAX_KEYS_PER_ACCOUNT),
  /** Requests per second over all daemons; undefined if the account has no quota. */
  ratePerSecond: allowedRateField.pipe(z.number().positive()).optional(),
  /** Requests that it may send at once beside its rate. */
  burst: allowedRateField.default(0),
  /** Goes before the priority of the route; 0 is the most urgent. */
  priority: priorityField.optional(),
});

export type ClientAccount = Readonly<z.infer<typeof clientAccountSchema>>;

function hasDuplicates(values: readonly string[]): boolean {
  return new Set(values).size < values.length;
}

/** The accounts of a configuration: names and keys are unique. */
export const clientAccountsSchema = z
  .array(clientAccountSchema)
  .max(MAX_ACCOUNTS)
  .refine((accounts) => !hasDuplicates(accounts.map(({ name }) => name)), {
    error: 'two accounts have the same name',
  })
  .refine((accounts) => !hasDuplicates(accounts.flatMap(({ keyDigests }) => keyDigests)), {
    error: 'a key is listed twice',
  });
