/**
 * The listener for callers: entry answers, and requests to services.
 */
import { buildProblem, createRefusal, parseRequest, toRequestError } from '@baobabline/core';
import type { RequestError } from '@baobabline/core';
import fastify from 'fastify';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { randomUUID } from 'node:crypto';
import type { Socket } from 'node:net';

import type { DecisionLog } from '../decisions/index.js';
import type { EntryAnswers } from '../entries/index.js';
import type { Metrics } from '../metrics/metrics.js';
import { buildAnswerHeaders, REFUSED_HEADER } from '../requests/index.js';
import type { Answer, IncomingRequest, RequestHandler } from '../requests/index.js';
import { dropBody } from '../runtime/drop-body.js';
import type { Settings } from '../settings/index.js';
import type { OpenReplies } from './open-replies.js';

export type CallerAppDependencies = {
  readonly settings: Settings;
  readonly path: RequestHandler;
  readonly entries: EntryAnswers;
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  readonly openReplies: OpenReplies;
  readonly isLeaving: () => boolean;
};

type EntriesQuery = {
  readonly customer?: string;
  readonly service?: string;
  readonly dataCentre?: string;
};

const PROBLEM_TYPE = 'application/problem+json';
const MS_PER_SECOND = 1000;
const KEEP_ALIVE_MS = 60_000;

/** Builds what the request path needs of an HTTP request; the signal fires if the caller goes. */
export function buildIncomingRequest(
  request: FastifyRequest,
  reply: FastifyReply,
  url: string,
): IncomingRequest {
  const controller = new AbortController();
  reply.raw.once('close', () => {
    if (!reply.raw.writableEnded) controller.abort();
  });
  return {
    raw: { method: request.method, url, headers: request.headers },
    body: Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0),
    cancelled: controller.signal,
  };
}

export function sendAnswer(reply: FastifyReply, answer: Answer, requestId: string): void {
  reply
    .code(answer.status)
    .headers(buildAnswerHeaders(answer.headers))
    .header('x-request-id', requestId)
    .send(answer.body);
}

export function sendRefusal(reply: FastifyReply, error: RequestError, requestId: string): void {
  if (error.retryAfterSeconds !== undefined) {
    reply.header('retry-after', String(Math.ceil(error.retryAfterSeconds)));
  }
  reply
    .code(error.result.status)
    .header('content-type', PROBLEM_TYPE)
    .header('x-request-id', requestId)
    .header(REFUSED_HEADER, String(error.result.code))
    .send(Buffer.from(JSON.stringify(buildProblem(error, requestId))));
}

/** Answers bytes that are no HTTP request. */
function refuseMalformed(_error: Error, socket: Socket): void {
  if (!socket.writable) return;
  const refusal = createRefusal('malformedRequest');
  const body = JSON.stringify(buildProblem(refusal, 'none'));
  socket.end(
    `HTTP/1.1 ${refusal.result.status} Bad Request\r\nContent-Type: ${PROBLEM_TYPE}\r\n` +
      `${REFUSED_HEADER}: ${refusal.result.code}\r\nConnection: close\r\n` +
      `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}

/** Takes every body as bytes: a proxy does not look inside. */
export function acceptAnyBody(app: FastifyInstance): void {
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
    done(null, body);
  });
}

function toRefusal(error: Error & { readonly code?: string }): RequestError {
  if (error.code === 'FST_ERR_CTP_BODY_TOO_LARGE') return createRefusal('bodyTooLarge');
  if (error.code?.startsWith('FST_ERR') === true) {
    return createRefusal('malformedRequest', { detail: error.message });
  }
  return toRequestError(error);
}

/** Creates the fastify instance that callers and peers alike are served by. */
export function createHttpApp(settings: Settings, isPublic: boolean): FastifyInstance {
  const tls = isPublic && settings.tls;
  const options = {
    bodyLimit: settings.maxBodyBytes,
    clientErrorHandler: refuseMalformed,
    forceCloseConnections: true,
    keepAliveTimeout: KEEP_ALIVE_MS,
  };
  const app = tls
    ? (fastify({
        ...options,
        https: { cert: tls.certificate, key: tls.privateKey },
      }) as unknown as FastifyInstance)
    : fastify(options);
  app.setErrorHandler((error: Error, request, reply) => {
    const requestId = String(request.headers['x-request-id'] ?? 'none');
    // Fastify would close the connection before the body is in.
    reply.removeHeader('connection');
    dropBody(request.raw);
    sendRefusal(reply, toRefusal(error), requestId);
  });
  return app;
}

class CallerHandlers {
  readonly #dependencies: CallerAppDependencies;

  constructor(dependencies: CallerAppDependencies) {
    this.#dependencies = dependencies;
  }

  handleEntries(query: EntriesQuery, reply: FastifyReply): FastifyReply {
    const { customer = 'unknown', service, dataCentre } = query;
    const answer = this.#dependencies.entries.answer({ customer, service, dataCentre });
    return reply.header('cache-control', `max-age=${answer.holdSeconds}`).send(answer);
  }

  async handleRequest(request: FastifyRequest, reply: FastifyReply): Promise<void> {
    const arrivedAt = performance.now();
    const incoming = buildIncomingRequest(request, reply, request.url);
    const service = request.url.split(/[/?]/, 2)[1] ?? '';
    try {
      const head = parseRequest(incoming.raw, randomUUID);
      await this.#serve(incoming, head, reply, arrivedAt);
    } catch (error) {
      const requestId = String(request.headers['x-request-id'] ?? 'none');
      this.#refuse(reply, toRequestError(error), requestId, service, arrivedAt);
    }
  }

  async #serve(
    incoming: IncomingRequest,
    head: ReturnType<typeof parseRequest>,
    reply: FastifyReply,
    arrivedAt: number,
  ): Promise<void> {
    try {
      const answer = await this.#dependencies.path.handleCaller(incoming, head);
      this.#measure(head.service, 0, arrivedAt);
      sendAnswer(reply, answer, head.requestId);
    } catch (error) {
      const refusal = toRequestError(error);
      this.#refuse(reply, refusal, head.requestId, head.service, arrivedAt);
    }
  }

  #refuse(
    reply: FastifyReply,
    refusal: RequestError,
    requestId: string,
    service: string,
    arrivedAt: number,
  ): void {
    const { code, name } = refusal.result;
    const isKnown = name !== 'unknown-service' && name !== 'malformed-request';
    this.#measure(isKnown ? service : 'none', code, arrivedAt);
    this.#dependencies.decisions.record({
      requestId,
      service: isKnown ? service : 'none',
      step: 'refused',
      timeLeftMs: 0,
      code,
      detail: refusal.message,
    });
    sendRefusal(reply, refusal, requestId);
  }

  #measure(service: string, code: number, arrivedAt: number): void {
    const seconds = (performance.now() - arrivedAt) / MS_PER_SECOND;
    this.#dependencies.metrics.recordRequest(service, code, seconds);
  }
}

/** Ends the connections of callers while the daemon leaves, so that none is in use when it closes. */
function closeOnLeave(
  app: FastifyInstance,
  { openReplies, isLeaving }: CallerAppDependencies,
): void {
  app.addHook('onSend', async (_request, reply) => {
    if (isLeaving() && openReplies.isLast(reply)) reply.header('connection', 'close');
  });
}

/** Creates the callers' listener. */
export function createCallerApp(dependencies: CallerAppDependencies): FastifyInstance {
  const app = createHttpApp(dependencies.settings, true);
  const handlers = new CallerHandlers(dependencies);
  dependencies.openReplies.watch(app);
  closeOnLeave(app, dependencies);
  acceptAnyBody(app);
  app.get<{ Querystring: EntriesQuery }>('/entries', (request, reply) =>
    handlers.handleEntries(request.query, reply),
  );
  app.all('/*', async (request, reply) => {
    await handlers.handleRequest(request, reply);
    return reply;
  });
  return app;
}
