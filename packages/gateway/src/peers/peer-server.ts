/**
 * The listener for other gateway daemons.
 */
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { readBody } from '../http/index.js';
import { followSchema } from './messages.js';
import { createPeerRouter } from './router.js';
import type { FollowHandler, PeerHandlers } from './router.js';

/** Longer than peers keep their connections, so that it is they who close them. */
const KEEP_ALIVE_MS = 60_000;
/** A whole copy of the records of a large deployment. */
const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/** The path of the call that every daemon always has open at a dispatcher. */
export const FOLLOW_PATH = '/follow';

const OK_STATUS = 200;
const REFUSED_STATUS = 400;

async function answerFollow(
  text: string,
  response: ServerResponse,
  follow: FollowHandler,
): Promise<void> {
  const parsed = followSchema.safeParse(JSON.parse(text));
  const answer = parsed.success ? await follow(parsed.data) : { error: parsed.error.message };
  response.writeHead(parsed.success ? OK_STATUS : REFUSED_STATUS, {
    'content-type': 'application/json',
  });
  response.end(JSON.stringify(answer));
}

function serveFollow(
  message: IncomingMessage,
  response: ServerResponse,
  follow: FollowHandler,
): void {
  readBody(message, MAX_MESSAGE_BYTES, (body) => {
    const text = body.kind === 'whole' ? Buffer.concat([...body.chunks]).toString('utf8') : '';
    // A caller that cannot be understood or has gone is of no concern to this daemon.
    answerFollow(text, response, follow).catch(() => response.destroy());
  });
}

/**
 * Creates the peers' listener: trpc, and beside it the waiting call by which daemons follow a
 * dispatcher, which is made so often that trpc's own work was most of an idle daemon's.
 */
export function createPeerServer(handlers: PeerHandlers, follow: FollowHandler): Server {
  const handle = createHTTPHandler({
    router: createPeerRouter(handlers),
    basePath: '/trpc/',
    maxBodySize: MAX_MESSAGE_BYTES,
  });
  return createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (message, response) => {
    if (message.url === FOLLOW_PATH) serveFollow(message, response, follow);
    else handle(message, response);
  });
}
