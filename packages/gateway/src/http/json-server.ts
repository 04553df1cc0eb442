/**
 * Minimal HTTP server that answers GET requests with JSON, and helpers to open and close servers.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

export type JsonResponse = { readonly status: number; readonly body: unknown };

/** Answers a request from its query parameters; `caller` is the remote IP address. */
export type JsonHandler = (query: Readonly<Record<string, string>>, caller: string) => JsonResponse;

const BAD_REQUEST: JsonResponse = { status: 400, body: { error: 'bad request' } };
const NOT_FOUND: JsonResponse = { status: 404, body: { error: 'not found' } };
const FAILED: JsonResponse = { status: 500, body: { error: 'internal error' } };
const BASE_URL = 'http://localhost';

function sendJson(response: ServerResponse, { status, body }: JsonResponse): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Parses a request target; undefined for one like `//`, which names no URL. */
function parseTarget(target: string): URL | undefined {
  try {
    return new URL(target, BASE_URL);
  } catch {
    return undefined;
  }
}

function buildResponse(
  handlers: ReadonlyMap<string, JsonHandler>,
  { method, url = '/', socket }: IncomingMessage,
): JsonResponse {
  const target = parseTarget(url);
  if (!target) return BAD_REQUEST;
  const handler = method === 'GET' ? handlers.get(target.pathname) : undefined;
  if (!handler) return NOT_FOUND;
  return handler(Object.fromEntries(target.searchParams), socket.remoteAddress ?? '');
}

/**
 * Creates a server from handlers keyed by path; other paths and methods get a 404. What a handler
 * throws goes to `onException`, and its caller gets a 500.
 */
export function createJsonServer(
  handlers: Readonly<Record<string, JsonHandler>>,
  onException: (error: unknown) => void,
): Server {
  const handlersByPath = new Map(Object.entries(handlers));
  return createServer((message, response) => {
    try {
      sendJson(response, buildResponse(handlersByPath, message));
    } catch (error) {
      onException(error);
      sendJson(response, FAILED);
    }
  });
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
