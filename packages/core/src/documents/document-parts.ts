/**
 * Documents longer than one value of the configuration service. The value under the document's
 * name is then a manifest that names immutable parts with their digests; readers fetch the parts
 * and put them together, so a half-published document is never seen.
 */
import * as z from 'zod';

import { BaseError } from '../results/index.js';

export const MAX_VALUE_BYTES = 1024 * 1024;

const MANIFEST_MARK = 'baobabline-parts';

const manifestSchema = z.strictObject({
  manifest: z.literal(MANIFEST_MARK),
  parts: z.array(z.strictObject({ key: z.string().min(1), digest: z.string() })).min(1),
});

export type PartReference = { readonly key: string; readonly digest: string };

export type DocumentPart = PartReference & { readonly text: string };

export const BrokenDocumentError = BaseError.subclass('BrokenDocumentError');

/** Reads a manifest; undefined when the value is the document itself. */
export function parseManifest(text: string): readonly PartReference[] | undefined {
  if (!text.includes(MANIFEST_MARK)) return undefined;
  const parsed = manifestSchema.safeParse(JSON.parse(text));
  return parsed.success ? parsed.data.parts : undefined;
}

/** Splits a document into parts of at most `maxCharacters`, named by their digests. */
export function splitDocument(
  name: string,
  text: string,
  maxCharacters: number,
  digest: (part: string) => string,
): readonly DocumentPart[] {
  return Array.from({ length: Math.ceil(text.length / maxCharacters) }, (_, index) => {
    const part = text.slice(index * maxCharacters, (index + 1) * maxCharacters);
    return { key: `${name}-part-${digest(part)}`, digest: digest(part), text: part };
  });
}

/** Builds the manifest that is published under the document's name. */
export function buildManifest(parts: readonly PartReference[]): string {
  return JSON.stringify({
    manifest: MANIFEST_MARK,
    parts: parts.map(({ key, digest }) => ({ key, digest })),
  });
}

/** Puts parts together. Throws BrokenDocumentError if one does not match its digest. */
export function joinParts(
  parts: readonly DocumentPart[],
  digest: (part: string) => string,
): string {
  const broken = parts.find((part) => digest(part.text) !== part.digest);
  if (broken) throw new BrokenDocumentError(`Part ${broken.key} does not match its digest`);
  return parts.map((part) => part.text).join('');
}
