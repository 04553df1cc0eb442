/**
 * The listener for other gateway daemons.
 */
import { fastifyTRPCPlugin } from '@trpc/server/adapters/fastify';
import type { FastifyTRPCPluginOptions } from '@trpc/server/adapters/fastify';
import fastify from 'fastify';
import type { FastifyInstance } from 'fastify';

import { createPeerRouter } from './router.js';
import type { GatewayPeerRouter, PeerHandlers } from './router.js';

/** Longer than peers keep their connections, so that it is they who close them. */
const KEEP_ALIVE_MS = 60_000;
/** A whole copy of the records of a large deployment. */
const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Creates the peers' listener. */
export async function createPeerApp(handlers: PeerHandlers): Promise<FastifyInstance> {
  const app = fastify({
    keepAliveTimeout: KEEP_ALIVE_MS,
    bodyLimit: MAX_MESSAGE_BYTES,
    forceCloseConnections: true,
  });
  const trpcOptions: FastifyTRPCPluginOptions<GatewayPeerRouter>['trpcOptions'] = {
    router: createPeerRouter(handlers),
  };
  await app.register(fastifyTRPCPlugin, { prefix: '/trpc', trpcOptions });
  return app;
}
