/**
 * Digests of callers' keys, the only form in which daemons hold and exchange them.
 */
import { createHash } from 'node:crypto';

/** Computes the SHA-256 of a key in base64url. Header values are Latin-1, one byte a character. */
export function computeKeyDigest(key: string): string {
  return createHash('sha256').update(key, 'latin1').digest('base64url');
}
