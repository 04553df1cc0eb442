/**
 * Stable hashes for placement: all daemons must compute the same placement of a slot, a reader or a
 * customer.
 */
import xxhash from 'xxhash-wasm';

import type { HashText } from './types.js';

const hasher = await xxhash();

/** xxHash32 of a text, as an unsigned 32-bit number. */
export const hashText: HashText = (text) => hasher.h32(text);

/** xxHash64 of a text as 16 hexadecimal digits, used as the digest of published parts. */
export function computeDigest(text: string): string {
  return hasher.h64ToString(text);
}

/** xxHash64 of bytes as 16 hexadecimal digits. */
export function computeBytesDigest(bytes: Uint8Array): string {
  return hasher.h64Raw(bytes).toString(16).padStart(16, '0');
}
