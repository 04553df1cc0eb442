/**
 * Parses the head of a caller's request. Everything about a request except its body is in its
 * method, path and headers.
 */
import { parseKey } from '../idempotency-keys/index.js';
import type { IssuedKey } from '../idempotency-keys/index.js';
import { createRefusal } from '../results/index.js';

export const REQUEST_HEADERS = {
  customer: 'baobabline-customer',
  kind: 'baobabline-kind',
  deadlineMs: 'baobabline-deadline-ms',
  repeatable: 'baobabline-repeatable',
  requestId: 'x-request-id',
  idempotencyKey: 'idempotency-key',
} as const;

/** Headers as Node.js provides them, with names in lower case. */
export type HeaderValues = Readonly<Record<string, string | readonly string[] | undefined>>;

export type RequestHead = {
  readonly requestId: string;
  readonly method: string;
  /** Path and query to send to the upstream, without the leading service name. */
  readonly path: string;
  readonly service: string;
  readonly customer: string;
  readonly kind: string;
  /** Time that the caller allows, in milliseconds from the request's arrival. */
  readonly timeAllowedMs: number;
  /** From the header, or else whether the method is safe. The plan can override this. */
  readonly repeatable: boolean;
  readonly key?: IssuedKey | undefined;
  readonly keyText?: string | undefined;
};

export type RawRequest = {
  readonly method: string;
  readonly url: string;
  readonly headers: HeaderValues;
};

const DEFAULT_DEADLINE_MS = 10_000;
const MAX_DEADLINE_MS = 120_000;
const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const REQUEST_ID_PATTERN = /^[A-Za-z0-9._-]{1,128}$/;
const URL_PATTERN = /^\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const SAFE_METHODS: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];

function readHeader(headers: HeaderValues, name: string): string | undefined {
  const value = headers[name];
  if (value === undefined || typeof value === 'string') return value;
  throw createRefusal('badHeader', { detail: `${name} may stand once` });
}

function readName(headers: HeaderValues, name: string): string {
  const value = readHeader(headers, name);
  if (value !== undefined && NAME_PATTERN.test(value)) return value;
  throw createRefusal('badHeader', {
    detail: `${name}: ${JSON.stringify(value ?? null)} is not allowed: must be 1 to 63 of a-z 0-9 . _ -`,
  });
}

function readTimeAllowed(headers: HeaderValues): number {
  const value = readHeader(headers, REQUEST_HEADERS.deadlineMs);
  if (value === undefined) return DEFAULT_DEADLINE_MS;
  if (!/^-?\d{1,9}$/.test(value) || Number(value) > MAX_DEADLINE_MS) {
    throw createRefusal('badHeader', {
      detail: `${REQUEST_HEADERS.deadlineMs}: ${JSON.stringify(value)} is not allowed: whole milliseconds up to ${MAX_DEADLINE_MS}`,
    });
  }
  if (Number(value) <= 0) throw createRefusal('deadlinePassed');
  return Number(value);
}

function readRepeatable(headers: HeaderValues, method: string): boolean {
  const value = readHeader(headers, REQUEST_HEADERS.repeatable);
  if (value === undefined) return SAFE_METHODS.includes(method);
  if (value === 'true' || value === 'false') return value === 'true';
  throw createRefusal('badHeader', {
    detail: `${REQUEST_HEADERS.repeatable}: ${JSON.stringify(value)} is not allowed: true or false`,
  });
}

function readRequestId(headers: HeaderValues, createId: () => string): string {
  const value = readHeader(headers, REQUEST_HEADERS.requestId);
  if (value === undefined) return createId();
  if (REQUEST_ID_PATTERN.test(value)) return value;
  throw createRefusal('badHeader', {
    detail: `${REQUEST_HEADERS.requestId}: must be 1 to 128 of A-Z a-z 0-9 . _ -`,
  });
}

function readKey(headers: HeaderValues): Pick<RequestHead, 'key' | 'keyText'> {
  const keyText = readHeader(headers, REQUEST_HEADERS.idempotencyKey);
  if (keyText === undefined) return {};
  const key = parseKey(keyText);
  if (key) return { key, keyText };
  throw createRefusal('keyNotIssued', {
    detail: 'Take the start of a key from GET /entries and append 8 to 64 of A-Z a-z 0-9 _ -',
  });
}

/**
 * Parses a request's head. Throws a refusal if the path or a header is not valid; the detail for a
 * bad header names the header and what is allowed.
 */
export function parseRequest(raw: RawRequest, createId: () => string): RequestHead {
  const match = URL_PATTERN.exec(raw.url);
  if (!match) throw createRefusal('unknownService', { detail: 'The path must be /<service>/…' });
  const [, service = '', path = '/', query = ''] = match;
  return {
    requestId: readRequestId(raw.headers, createId),
    method: raw.method,
    path: `${path}${query}`,
    service,
    customer: readName(raw.headers, REQUEST_HEADERS.customer),
    kind: readName(raw.headers, REQUEST_HEADERS.kind),
    timeAllowedMs: readTimeAllowed(raw.headers),
    repeatable: readRepeatable(raw.headers, raw.method),
    ...readKey(raw.headers),
  };
}
