/**
 * Compares the contents of records. The same record has its fields in another order if it came from
 * a peer instead of the store, so that its text alone does not tell whether two are the same.
 */
import { computeDigest } from '../runtime/index.js';
import type { PublishedRecord } from './types.js';

type Content = Pick<PublishedRecord, 'upstream' | 'configuration'>;

const EMPTY_DIGEST = '';

const digests = new WeakMap<object, string>();

function toSortedFields(_: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value;
  return Object.fromEntries(
    Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1)),
  );
}

/** Computes a digest of what a record holds, without its place in history; empty for a removal. */
export function computeContentDigest({ upstream, configuration }: Content): string {
  const content = upstream ?? configuration;
  if (!content) return EMPTY_DIGEST;
  const known = digests.get(content);
  if (known !== undefined) return known;
  const digest = computeDigest(JSON.stringify(content, toSortedFields));
  digests.set(content, digest);
  return digest;
}

/** Whether a record was removed or holds nothing that can be used. */
export function isEmptyRecord({ upstream, configuration }: Content): boolean {
  return upstream === undefined && configuration === undefined;
}

/** Whether two records hold the same; their places in history may differ. */
export function hasSameContent(left: Content, right: Content): boolean {
  return computeContentDigest(left) === computeContentDigest(right);
}
