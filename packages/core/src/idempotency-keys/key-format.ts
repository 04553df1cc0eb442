/**
 * Format of the idempotency keys that the fleet issues:
 * `bk1~<daemon>~<incarnation>~<expiry ms>~<nonce>`. Only the daemon process that a key names may
 * run its request, and only until the key expires on that process's own clock. Callers get
 * everything before the nonce from the answer to `GET /entries` and append their own nonce.
 */

export type IssuedKey = {
  readonly daemonId: string;
  readonly incarnation: number;
  /** Milliseconds on the issuing process's monotonic clock. */
  readonly expiresAt: number;
};

const KEY_PATTERN = /^bk1~([a-z0-9][a-z0-9._-]{0,62})~(\d{1,16})~(\d{1,16})~([A-Za-z0-9_-]{8,64})$/;

/** Formats the part of a key before the nonce, including the separator at its end. */
export function formatKeyPrefix({ daemonId, incarnation, expiresAt }: IssuedKey): string {
  return `bk1~${daemonId}~${incarnation}~${Math.floor(expiresAt)}~`;
}

/** Parses a complete key. Returns undefined if the text is not in the fleet's key format. */
export function parseKey(key: string): IssuedKey | undefined {
  const match = KEY_PATTERN.exec(key);
  if (!match) return undefined;
  const [, daemonId = '', incarnation, expiresAt] = match;
  return { daemonId, incarnation: Number(incarnation), expiresAt: Number(expiresAt) };
}
