/**
 * How much of the store's history a daemon knows: for each era the revision up to which it has all
 * changes that were written in that era. A restored store gives revisions out again, so that one
 * revision alone does not say which changes are known.
 */
import * as z from 'zod';

import { eraField, MAX_ERAS, revisionField } from '../untrusted/index.js';

/** Pairs of an era and a revision, as daemons exchange them; eras that are missing are unknown. */
export const knownRevisionsSchema = z
  .array(z.tuple([eraField, revisionField]))
  .max(MAX_ERAS)
  .readonly();

export type KnownRevisions = z.infer<typeof knownRevisionsSchema>;

/** Returns the revision known of an era; 0 if nothing is. */
export function findKnownRevision(known: KnownRevisions, era: number): number {
  return known.find(([one]) => one === era)?.[1] ?? 0;
}

/** Whether all that `other` knows is part of `known`. */
export function hasAllKnown(known: KnownRevisions, other: KnownRevisions): boolean {
  return other.every(([era, revision]) => findKnownRevision(known, era) >= revision);
}

/** Merges two states of knowledge; the result is sorted by era. */
export function mergeKnown(left: KnownRevisions, right: KnownRevisions): KnownRevisions {
  const eras = [...new Set([...left, ...right].map(([era]) => era))].sort((one, two) => one - two);
  return eras.map((era) => [
    era,
    Math.max(findKnownRevision(left, era), findKnownRevision(right, era)),
  ]);
}
