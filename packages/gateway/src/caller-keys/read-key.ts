/**
 * Reads the key of a request from its `Authorization` header (RFC 9110, 11.6.2).
 */
import { computeKeyDigest } from './key-digest.js';

const AUTHORIZATION = 'authorization';
/** The scheme, one or more spaces, and a token without spaces or commas. */
const CREDENTIALS_PATTERN = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+) +([^\s,]+)$/;

/**
 * Returns the digest of the key; undefined if there is none that can be read, or several headers, of
 * which different readers could take different ones. `rawHeaders` are names and values in turn.
 */
export function readKeyDigest(rawHeaders: readonly string[], scheme: string): string | undefined {
  const values = rawHeaders.filter(
    (_, index) => index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === AUTHORIZATION,
  );
  const [value] = values;
  if (value === undefined || values.length > 1) return undefined;
  const match = CREDENTIALS_PATTERN.exec(value.trim());
  if (match?.[1]?.toLowerCase() !== scheme) return undefined;
  return computeKeyDigest(match[2] ?? '');
}
