/**
 * The listener for other gateway daemons.
 */
import type { Changes } from '@baobabline/core';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { readBody } from '../http/index.js';
import { recordsRequestSchema } from './messages.js';
import type { RecordsRequest } from './messages.js';
import { createPeerRouter } from './router.js';
import type { PeerHandlers } from './router.js';

/** Longer than peers keep their connections, so that it is they who close them. */
const KEEP_ALIVE_MS = 60_000;
/** A whole copy of the records of a large deployment. */
const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Where a daemon fetches changes of the records. */
export const RECORDS_PATH = '/records';

const OK_STATUS = 200;
const REFUSED_STATUS = 400;

type RecordsHandler = (request: RecordsRequest) => Changes;

function readRequest(text: string): RecordsRequest | undefined {
  try {
    return recordsRequestSchema.safeParse(JSON.parse(text)).data;
  } catch {
    // A caller that cannot be understood is told so.
    return undefined;
  }
}

function serveRecords(
  message: IncomingMessage,
  response: ServerResponse,
  listChanges: RecordsHandler,
): void {
  readBody(message, MAX_MESSAGE_BYTES, (body) => {
    const request =
      body.kind === 'whole'
        ? readRequest(Buffer.concat([...body.chunks]).toString('utf8'))
        : undefined;
    response.writeHead(request ? OK_STATUS : REFUSED_STATUS, {
      'content-type': 'application/json',
    });
    response.end(request ? JSON.stringify(listChanges(request)) : '{}');
  });
}

/** Creates the peers' listener: trpc, and beside it the records, which are large. */
export function createPeerServer(handlers: PeerHandlers, listChanges: RecordsHandler): Server {
  const handle = createHTTPHandler({
    router: createPeerRouter(handlers),
    basePath: '/trpc/',
    maxBodySize: MAX_MESSAGE_BYTES,
  });
  return createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (message, response) => {
    if (message.url === RECORDS_PATH) serveRecords(message, response, listChanges);
    else handle(message, response);
  });
}
