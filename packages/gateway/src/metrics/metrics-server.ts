/**
 * HTTP server from which Prometheus scrapes the metrics.
 */
import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';

const METRICS_PATH = '/metrics';
const CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';
const OK_STATUS = 200;
const NOT_FOUND_STATUS = 404;

async function answerMetrics(
  response: ServerResponse,
  describe: () => Promise<string>,
): Promise<void> {
  const text = await describe();
  response.writeHead(OK_STATUS, { 'content-type': CONTENT_TYPE });
  response.end(text);
}

/** Creates the server; `onFault` is called with the reason if the metrics cannot be collected. */
export function createMetricsServer(
  describe: () => Promise<string>,
  onFault: (reason: string) => void,
): Server {
  return createServer((message, response) => {
    if (message.method !== 'GET' || message.url?.split('?')[0] !== METRICS_PATH) {
      response.writeHead(NOT_FOUND_STATUS).end();
      return;
    }
    answerMetrics(response, describe).catch((error: Error) => {
      onFault(error.message);
      response.destroy();
    });
  });
}
