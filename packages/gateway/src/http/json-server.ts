/**
 * A small listener that answers GET requests with JSON.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

export type JsonAnswer = { readonly status: number; readonly body: unknown };

/** Answers a request by its query; `caller` is the address that it came from. */
export type JsonHandler = (query: Readonly<Record<string, string>>, caller: string) => JsonAnswer;

const NOT_FOUND: JsonAnswer = { status: 404, body: { error: 'not found' } };
const BASE = 'http://localhost';

function answerJson(response: ServerResponse, { status, body }: JsonAnswer): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

function serveJson(
  handlers: Readonly<Record<string, JsonHandler>>,
  message: IncomingMessage,
  response: ServerResponse,
): void {
  const { pathname, searchParams } = new URL(message.url ?? '/', BASE);
  const handler = message.method === 'GET' ? handlers[pathname] : undefined;
  const caller = message.socket.remoteAddress ?? '';
  answerJson(response, handler ? handler(Object.fromEntries(searchParams), caller) : NOT_FOUND);
}

/** Creates a listener from handlers by path. */
export function createJsonServer(handlers: Readonly<Record<string, JsonHandler>>): Server {
  return createServer((message, response) => serveJson(handlers, message, response));
}

/** Listens; rejects if the address is taken. Returns the port. */
export async function listenOn(server: Server, address: string, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, resolve);
  });
  const bound = server.address();
  return typeof bound === 'object' && bound ? bound.port : port;
}

/** Stops listening and closes all connections. */
export async function closeServer(server: Server): Promise<void> {
  const closed = new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
  server.closeAllConnections();
  await closed;
}
