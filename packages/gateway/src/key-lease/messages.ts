/**
 * The datagrams by which daemons renew their key leases: a question with a nonce, and an answer with
 * the same nonce, the age of the answering daemon's lease and the configuration that it is about.
 */
import {
  counterField,
  countField,
  durationField,
  eraField,
  MAX_KNOWN_ERAS,
  MAX_TIMER_MS,
  revisionField,
} from '@baobabline/core';
import type { LeaseAnswer } from '@baobabline/core';
import * as z from 'zod';

import { formatBody, parseBody } from '../datagrams/index.js';

/** States that a daemon never had a lease. */
const NO_LEASE_AGE_MS = MAX_TIMER_MS;
/** An answer with all eras that a daemon remembers takes about 200 bytes. */
const MAX_BODY_BYTES = 400;

const questionSchema = z.tuple([countField]);

const answerSchema = z.tuple([
  countField,
  durationField,
  durationField,
  counterField,
  eraField,
  revisionField,
  z.array(z.tuple([eraField, revisionField])).max(MAX_KNOWN_ERAS),
]);

export function formatLeaseQuestion(nonce: number): Buffer {
  return formatBody([nonce]);
}

/** Parses a question and returns its nonce; undefined if the body is not a valid question. */
export function parseLeaseQuestion(body: Buffer): number | undefined {
  return body.length > MAX_BODY_BYTES ? undefined : parseBody(body, questionSchema)?.[0];
}

export function formatLeaseAnswer({
  nonce,
  ageMs,
  renewsInMs,
  configuration: { version, era, revision, eras },
}: LeaseAnswer): Buffer {
  const ages = [Math.min(NO_LEASE_AGE_MS, Math.ceil(ageMs)), Math.ceil(renewsInMs)];
  return formatBody([nonce, ...ages, version, era, revision, eras]);
}

/** Parses an answer; undefined if the body is not a valid answer. */
export function parseLeaseAnswer(body: Buffer): LeaseAnswer | undefined {
  if (body.length > MAX_BODY_BYTES) return undefined;
  const parsed = parseBody(body, answerSchema);
  if (!parsed) return undefined;
  const [nonce, statedAgeMs, renewsInMs, version, era, revision, eras] = parsed;
  const ageMs = statedAgeMs >= NO_LEASE_AGE_MS ? Number.POSITIVE_INFINITY : statedAgeMs;
  return { nonce, ageMs, renewsInMs, configuration: { version, era, revision, eras } };
}
