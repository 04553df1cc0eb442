/**
 * Tells whether two requests are the same: by method, host, target, the credentials of the client
 * account and the body, never by the id of a request. A cryptographic digest, since callers could
 * otherwise choose a request that is taken for another one.
 */
import { createHash } from 'node:crypto';

export type FingerprintedRequest = {
  readonly method: string;
  /** Request target with its query. */
  readonly target: string;
  /** Headers that travel on, names and values in turn. */
  readonly headers: readonly string[];
  /** Digest of the body; empty where there is none. */
  readonly bodyDigest: string;
  /** The client account whose key it bore; undefined if it needs none. */
  readonly accountName?: string | undefined;
};

/** Headers that say whose request it is. */
const IDENTITY_HEADERS: readonly string[] = ['host', 'authorization', 'cookie'];
/** 128 bits in base64url. */
const FINGERPRINT_LENGTH = 22;

function listValues(headers: readonly string[], wanted: string): readonly string[] {
  return headers.filter(
    (_, index) => index % 2 === 1 && headers[index - 1]?.toLowerCase() === wanted,
  );
}

/** Computes the fingerprint of a request: 22 characters of base64url. */
export function computeRequestFingerprint({
  method,
  target,
  headers,
  bodyDigest,
  accountName,
}: FingerprintedRequest): string {
  const identity = IDENTITY_HEADERS.map((name) => listValues(headers, name));
  const account = accountName === undefined ? [] : [accountName];
  return createHash('sha256')
    .update(JSON.stringify([method, target, [...identity, ...account], bodyDigest]))
    .digest('base64url')
    .slice(0, FINGERPRINT_LENGTH);
}
