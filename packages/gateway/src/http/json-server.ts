/**
 * Minimal HTTP server that answers GET requests with JSON, and helpers to open and close servers.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

export type JsonResponse = { readonly status: number; readonly body: unknown };

/** Answers a request from its query parameters; `caller` is the remote IP address. */
export type JsonHandler = (query: Readonly<Record<string, string>>, caller: string) => JsonResponse;

const NOT_FOUND: JsonResponse = { status: 404, body: { error: 'not found' } };
const BASE_URL = 'http://localhost';

function sendJson(response: ServerResponse, { status, body }: JsonResponse): void {
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
  const { pathname, searchParams } = new URL(message.url ?? '/', BASE_URL);
  const handler = message.method === 'GET' ? handlers[pathname] : undefined;
  const caller = message.socket.remoteAddress ?? '';
  sendJson(response, handler ? handler(Object.fromEntries(searchParams), caller) : NOT_FOUND);
}

/** Creates a server from handlers keyed by path; other paths and methods get a 404. */
export function createJsonServer(handlers: Readonly<Record<string, JsonHandler>>): Server {
  return createServer((message, response) => serveJson(handlers, message, response));
}

/** Listens; rejects if the address is in use. Returns the bound port. */
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
