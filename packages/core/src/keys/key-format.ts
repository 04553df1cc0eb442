/**
 * Idempotency keys as the fleet issues them. A key names the daemon process that alone may run
 * the request, and when that permission ends on that process's own clock:
 * `bk1~<daemon>~<incarnation>~<expiry ms>~<nonce>`. Callers get all but the nonce from an entry
 * answer and append a nonce of their own.
 */

export type IssuedKey = {
  readonly daemonId: string;
  readonly incarnation: number;
  /** Milliseconds on the issuing process's monotonic clock. */
  readonly expiresAt: number;
};

const KEY_PATTERN = /^bk1~([a-z0-9][a-z0-9._-]{0,62})~(\d{1,16})~(\d{1,16})~([A-Za-z0-9_-]{8,64})$/;

/** Formats the part of a key that the fleet issues, with the separator at its end. */
export function formatKeyPrefix({ daemonId, incarnation, expiresAt }: IssuedKey): string {
  return `bk1~${daemonId}~${incarnation}~${Math.floor(expiresAt)}~`;
}

/** Parses a whole key; undefined if the fleet cannot have issued it. */
export function parseKey(key: string): IssuedKey | undefined {
  const match = KEY_PATTERN.exec(key);
  if (!match) return undefined;
  const [, daemonId = '', incarnation, expiresAt] = match;
  return { daemonId, incarnation: Number(incarnation), expiresAt: Number(expiresAt) };
}
