/**
 * The small listeners for callers that ask where to connect, for readiness checks and for metrics.
 */
import fastify from 'fastify';
import type { FastifyInstance } from 'fastify';

import type { DirectoryAnswer, DirectoryDialect, DirectoryQuestion } from '../dialect/index.js';

export type DirectoryPorts = {
  readonly dialect: DirectoryDialect;
  readonly answer: (question: DirectoryQuestion) => DirectoryAnswer;
};

export type ReadinessPorts = {
  readonly dialect: DirectoryDialect;
  readonly isReady: () => boolean;
};

type Query = Readonly<Record<string, unknown>>;

const OPTIONS = { forceCloseConnections: true } as const;
const NOT_READY_STATUS = 503;

/** Creates the listener that names the daemons to use. */
export function createDirectoryApp({ dialect, answer }: DirectoryPorts): FastifyInstance {
  const app = fastify(OPTIONS);
  app.get<{ Querystring: Query }>(dialect.directoryPath, (request, reply) => {
    const found = answer(dialect.readDirectoryQuestion(request.query));
    const status = found.endpoints.length > 0 ? 200 : NOT_READY_STATUS;
    return reply.code(status).send(dialect.buildDirectoryAnswer(found));
  });
  return app;
}

/** Creates the listener for readiness checks. */
export function createReadinessApp({ dialect, isReady }: ReadinessPorts): FastifyInstance {
  const app = fastify(OPTIONS);
  app.get(dialect.readinessPath, (_request, reply) => {
    const ready = isReady();
    return reply.code(ready ? 200 : NOT_READY_STATUS).send({ ready });
  });
  return app;
}
