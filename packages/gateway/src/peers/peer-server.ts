/**
 * The listener for other gateway daemons.
 */
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { createServer } from 'node:http';
import type { Server } from 'node:http';

import { createPeerRouter } from './router.js';
import type { PeerHandlers } from './router.js';

/** Longer than peers keep their connections, so that it is they who close them. */
const KEEP_ALIVE_MS = 60_000;
/** A whole copy of the records of a large deployment. */
const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Creates the peers' listener. */
export function createPeerServer(handlers: PeerHandlers): Server {
  const handle = createHTTPHandler({
    router: createPeerRouter(handlers),
    basePath: '/trpc/',
    maxBodySize: MAX_MESSAGE_BYTES,
  });
  return createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, handle);
}
