/**
 * Checks the head of a caller's request: what is not plain HTTP, or could be read in two ways, is
 * refused, and so is what exceeds the limits of the configuration.
 */
import { createRefusal } from '@baobabline/core';
import type { RequestError, RouteTable } from '@baobabline/core';
import type { IncomingMessage } from 'node:http';

/** Overhead of a header line beside its name and value. */
const HEADER_LINE_BYTES = 4;
const MS_PER_SECOND = 1000;
/** A token (RFC 9110, 5.6.2). Node's parser lets spaces pass, also before the colon. */
const HEADER_NAME_PATTERN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

function countHeaderBytes({ rawHeaders, url = '' }: IncomingMessage): number {
  const text = rawHeaders.reduce((sum, part) => sum + part.length, 0);
  return text + (rawHeaders.length / 2) * HEADER_LINE_BYTES + url.length;
}

/** Whether all names are tokens and exactly one of them is Host. */
function hasValidHeaderNames({ rawHeaders }: IncomingMessage): boolean {
  const names = rawHeaders.filter((_, index) => index % 2 === 0);
  return (
    names.every((name) => HEADER_NAME_PATTERN.test(name)) &&
    names.filter((name) => name.toLowerCase() === 'host').length === 1
  );
}

/** The length that a request states for its body, in bytes; 0 where it states none. */
export function readBodyLength(message: IncomingMessage): number {
  return Number(message.headers['content-length'] ?? 0);
}

/**
 * Returns why a request is refused by its head; undefined if it may be read. `drawRetryMs` tells when
 * to try again while there is no configuration.
 */
export function checkHead(
  message: IncomingMessage,
  routes: RouteTable | undefined,
  drawRetryMs: () => number,
): RequestError | undefined {
  if (!hasValidHeaderNames(message)) return createRefusal('malformedRequest');
  if (!routes) {
    return createRefusal('notReady', { retryAfterSeconds: drawRetryMs() / MS_PER_SECOND });
  }
  const { maxHeaderBytes, maxBodyBytes } = routes.configuration.limits;
  if (countHeaderBytes(message) > maxHeaderBytes) return createRefusal('headersTooLarge');
  if (readBodyLength(message) > maxBodyBytes) return createRefusal('bodyTooLarge');
  return undefined;
}
