/**
 * Splits documents that exceed the value size of the configuration service. The value under the
 * document's name is then a manifest, which lists immutable parts with their digests. Readers fetch
 * the parts and join them, so they never see a partially published document.
 */
import * as z from 'zod';

import { BaseError } from '../results/index.js';

/** Size limit of one value in the configuration service. */
export const MAX_VALUE_BYTES = 1024 * 1024;

const MANIFEST_MARK = 'baobabline-parts';

const manifestSchema = z.strictObject({
  manifest: z.literal(MANIFEST_MARK),
  parts: z.array(z.strictObject({ key: z.string().min(1), digest: z.string() })).min(1),
});

export type PartReference = { readonly key: string; readonly digest: string };

export type DocumentPart = PartReference & { readonly text: string };

export const CorruptDocumentError = BaseError.subclass('CorruptDocumentError');

/** Parses a manifest; undefined if the value is the document itself. */
export function parseManifest(text: string): readonly PartReference[] | undefined {
  if (!text.includes(MANIFEST_MARK)) return undefined;
  const parsed = manifestSchema.safeParse(JSON.parse(text));
  return parsed.success ? parsed.data.parts : undefined;
}

/** Splits a document into parts of at most `maxCharacters`, with keys made from their digests. */
export function splitDocument(
  name: string,
  text: string,
  maxCharacters: number,
  computeDigest: (part: string) => string,
): readonly DocumentPart[] {
  return Array.from({ length: Math.ceil(text.length / maxCharacters) }, (_, index) => {
    const part = text.slice(index * maxCharacters, (index + 1) * maxCharacters);
    return { key: `${name}-part-${computeDigest(part)}`, digest: computeDigest(part), text: part };
  });
}

/** Builds the manifest that is published under the document's name. */
export function buildManifest(parts: readonly PartReference[]): string {
  return JSON.stringify({
    manifest: MANIFEST_MARK,
    parts: parts.map(({ key, digest }) => ({ key, digest })),
  });
}

/** Joins parts. Throws CorruptDocumentError if a part does not match its digest. */
export function joinParts(
  parts: readonly DocumentPart[],
  computeDigest: (part: string) => string,
): string {
  const corrupt = parts.find((part) => computeDigest(part.text) !== part.digest);
  if (corrupt) throw new CorruptDocumentError(`Part ${corrupt.key} does not match its digest`);
  return parts.map((part) => part.text).join('');
}
