/**
 * The HTTP listener from which other gateway daemons fetch what is too large for a datagram: the full
 * list of members, and changes of records. It uses Node's own server, since loading trpc takes a
 * fifth of a daemon's start-up time and all other messages between daemons are datagrams.
 */
import type { RecordChanges } from '@baobabline/core';
import type { ExchangeAnswer, ExchangeMessage, ProbeRequest } from '@baobabline/daemon';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type * as z from 'zod';

import { exchangeRowsSchema, formatExchange, parseExchange } from '../datagrams/index.js';
import type { ExceptionHandler } from '../exceptions/index.js';
import { readBody } from '../http/index.js';
import { recordsRequestSchema } from './messages.js';
import type { RecordsRequest } from './messages.js';

/** Longer than the keep-alive time of peers, so that the client side closes idle connections. */
const KEEP_ALIVE_MS = 60_000;
/** Enough for all records of a large deployment. */
const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Path for fetching changes of records. */
export const RECORDS_PATH = '/records';
/** Path at which a joining daemon announces itself and fetches the list of members. */
export const MEMBERS_PATH = '/members';

const OK_STATUS = 200;
const BAD_REQUEST_STATUS = 400;
const NOT_FOUND_STATUS = 404;
const FAILED_STATUS = 500;

export type PeerHandlers = {
  readonly exchange: (message: ExchangeMessage) => ExchangeAnswer;
  readonly probe: (target: ProbeRequest) => Promise<boolean>;
};

/** Parses a request and returns the answer; undefined if the request is invalid. */
type Call = (text: string) => unknown;

function readJson<Shape extends z.ZodType>(
  text: string,
  schema: Shape,
): z.infer<Shape> | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    // Malformed JSON is answered with status 400.
    return undefined;
  }
}

function sendAnswer(response: ServerResponse, status: number, answer: unknown): void {
  const text = JSON.stringify(answer);
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(text);
}

function serveCall(
  message: IncomingMessage,
  response: ServerResponse,
  call: Call,
  onException: ExceptionHandler,
): void {
  readBody(message, MAX_MESSAGE_BYTES, (body) => {
    const text = body.kind === 'whole' ? Buffer.concat([...body.chunks]).toString('utf8') : '';
    try {
      const answer = call(text);
      sendAnswer(response, answer === undefined ? BAD_REQUEST_STATUS : OK_STATUS, answer ?? {});
    } catch (error) {
      onException(error);
      sendAnswer(response, FAILED_STATUS, {});
    }
  });
}

/**
 * Creates the listener for peers; the caller starts it with `listen`. What a call throws goes to
 * `onException`, and the peer gets a 500.
 */
export function createPeerServer(
  { exchange }: PeerHandlers,
  listChanges: (request: RecordsRequest) => RecordChanges,
  onException: ExceptionHandler,
): Server {
  const calls: ReadonlyMap<string | undefined, Call> = new Map<string, Call>([
    [
      RECORDS_PATH,
      (text) => {
        const request = readJson(text, recordsRequestSchema);
        return request && listChanges(request);
      },
    ],
    [
      MEMBERS_PATH,
      (text) => {
        const rows = readJson(text, exchangeRowsSchema);
        return rows && formatExchange(exchange({ ...parseExchange(rows), wantsAll: true }));
      },
    ],
  ]);
  return createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (message, response) => {
    const call = calls.get(message.url);
    if (call) serveCall(message, response, call, onException);
    else response.writeHead(NOT_FOUND_STATUS).end();
  });
}
