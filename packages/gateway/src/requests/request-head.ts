/**
 * Writes the head of a request to an upstream. Headers that concern only the caller's connection
 * end here (RFC 9110, 7.6.1), and those that the gateway sets itself are set anew.
 */
import type { HeaderPair } from '../dialect/index.js';
import type { RoutedRequest } from './types.js';

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const BODY_METHODS: readonly string[] = ['POST', 'PUT', 'PATCH'];

/** Pairs of a flat list of names and values. */
export function listPairs(flat: readonly string[]): readonly HeaderPair[] {
  return flat.flatMap((name, index): readonly HeaderPair[] =>
    index % 2 === 0 ? [[name, flat[index + 1] ?? '']] : [],
  );
}

/** Names that a Connection header adds to those that end here. */
function listNamedByConnection(pairs: readonly HeaderPair[]): ReadonlySet<string> {
  const names = pairs
    .filter(([name]) => name.toLowerCase() === 'connection')
    .flatMap(([, value]) => value.split(','))
    .map((name) => name.trim().toLowerCase());
  return new Set(names);
}

/** Headers that travel on to the other side. */
export function listOnwardHeaders(
  flat: readonly string[],
  dropped: ReadonlySet<string>,
): readonly HeaderPair[] {
  const pairs = listPairs(flat);
  const named = listNamedByConnection(pairs);
  return pairs.filter(([name]) => {
    const key = name.toLowerCase();
    return !HOP_BY_HOP.has(key) && !dropped.has(key) && !named.has(key);
  });
}

function formatHeaders(pairs: readonly HeaderPair[]): string {
  return pairs.map(([name, value]) => `${name}: ${value}\r\n`).join('');
}

/** Builds request line and headers, ended by an empty line. */
export function buildRequestHead(request: RoutedRequest, own: readonly HeaderPair[]): string {
  const needsLength = request.bodyBytes > 0 || BODY_METHODS.includes(request.method);
  const length: readonly HeaderPair[] = needsLength
    ? [['Content-Length', String(request.bodyBytes)]]
    : [];
  const pairs = [...listPairs(request.headers), ...length, ...own];
  return `${request.method} ${request.target} HTTP/1.1\r\n${formatHeaders(pairs)}\r\n`;
}
