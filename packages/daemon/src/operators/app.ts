/**
 * The listener for operators: metrics, health, what this daemon believes, and why a request went
 * where it went.
 */
import fastify from 'fastify';
import type { FastifyInstance } from 'fastify';

import type { DecisionLog } from '../decisions/index.js';
import type { EntryAnswers } from '../entries/index.js';
import type { Metrics } from '../metrics/metrics.js';
import type { StatusSource } from './status.js';
import { buildStatus } from './status.js';

export type OperatorAppDependencies = {
  readonly metrics: Metrics;
  readonly status: StatusSource;
  readonly decisions: DecisionLog;
  readonly entries: EntryAnswers;
};

/** Creates the operators' listener. */
export function createOperatorApp(dependencies: OperatorAppDependencies): FastifyInstance {
  const app = fastify({ forceCloseConnections: true });
  const { metrics, status, decisions, entries } = dependencies;
  app.get('/metrics', async (_request, reply) =>
    reply.type(metrics.registry.contentType).send(await metrics.registry.metrics()),
  );
  app.get('/health', async (_request, reply) => {
    const { phase } = status;
    return reply.code(phase === 'serving' ? 200 : 503).send({ phase });
  });
  app.get('/status', async () => buildStatus(status));
  app.get<{ Params: { readonly id: string } }>('/explain/:id', async (request, reply) => {
    const steps = decisions.explain(request.params.id);
    return reply.code(steps.length > 0 ? 200 : 404).send({ requestId: request.params.id, steps });
  });
  app.get<{ Querystring: { readonly customer?: string; readonly service?: string } }>(
    '/entries',
    async ({ query }) => entries.answer({ customer: query.customer ?? 'unknown', ...query }),
  );
  return app;
}
