/**
 * The listener for other daemons: trpc for control, plain HTTP for requests handed on.
 */
import { toRequestError } from '@baobabline/core';
import { fastifyTRPCPlugin } from '@trpc/server/adapters/fastify';
import type { FastifyTRPCPluginOptions } from '@trpc/server/adapters/fastify';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';

import {
  acceptAnyBody,
  buildIncomingRequest,
  createHttpApp,
  sendAnswer,
  sendRefusal,
} from '../callers/app.js';
import { FREE_HEADER } from '../requests/index.js';
import type { OpenReplies } from '../callers/open-replies.js';
import type { Answer, IncomingRequest, RequestHandler } from '../requests/index.js';
import type { Settings } from '../settings/index.js';
import { createPeerRouter } from './app.js';
import type { PeerHandlers, PeerRouter } from './app.js';
import type { ControlMeter } from './control-meter.js';

export type PeerServerPorts = {
  readonly settings: Settings;
  readonly path: RequestHandler;
  readonly handlers: PeerHandlers;
  readonly meter: ControlMeter;
  readonly openReplies: OpenReplies;
};

type RouteTools = {
  readonly countFree: (url: string) => number;
};

type Handle = (arrival: IncomingRequest) => Promise<Answer>;

function registerRoute(
  app: FastifyInstance,
  route: string,
  handle: Handle,
  ports: RouteTools,
): void {
  const prefix = `/${route}`;
  app.all(`${prefix}/*`, async (request: FastifyRequest, reply: FastifyReply) => {
    const requestId = String(request.headers['x-request-id'] ?? 'none');
    try {
      const arrival = buildIncomingRequest(request, reply, request.url.slice(prefix.length));
      const answer = await handle(arrival);
      reply.header(FREE_HEADER, String(ports.countFree(arrival.raw.url)));
      sendAnswer(reply, answer, requestId);
    } catch (error) {
      sendRefusal(reply, toRequestError(error), requestId);
    }
    return reply;
  });
}

/** Creates the peers' listener. */
export async function createPeerApp(ports: PeerServerPorts): Promise<FastifyInstance> {
  const { settings, path, handlers, meter } = ports;
  const tools: RouteTools = {
    countFree: (url) => path.countFree(url.split(/[/?]/, 2)[1] ?? ''),
  };
  const app = createHttpApp(settings, false);
  const options: FastifyTRPCPluginOptions<PeerRouter>['trpcOptions'] = {
    router: createPeerRouter(handlers),
  };
  app.addHook('onResponse', async (request, reply) => {
    if (!request.url.startsWith('/trpc')) return;
    const requestBytes = Number(request.headers['content-length'] ?? 0);
    meter.recordCall(requestBytes, Number(reply.getHeader('content-length') ?? 0));
  });
  await app.register(fastifyTRPCPlugin, { prefix: '/trpc', trpcOptions: options });
  await app.register(async (scope) => {
    ports.openReplies.watch(scope);
    acceptAnyBody(scope);
    registerRoute(scope, 'dispatch', (arrival) => path.handleDispatch(arrival), tools);
    registerRoute(scope, 'run', (arrival) => path.handleRun(arrival), tools);
  });
  return app;
}
