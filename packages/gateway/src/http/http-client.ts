/**
 * HTTP client for calls to other daemons and to the platform's store. It uses the client built into
 * Node.js, since loading undici takes as much of a daemon's start time as all of its own code.
 */
import { Agent, request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';

export type HttpClientOptions = {
  /** Maximum number of connections to one address. */
  readonly connections: number;
  /** Socket inactivity timeout of a connection. */
  readonly keepAliveMs: number;
};

export type HttpCall = {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  /** JSON text. */
  readonly body?: string;
  /** Timeout of the whole call, including the time to connect. */
  readonly timeoutMs: number;
};

export type HttpResponse = {
  readonly status: number;
  /** By names in lower case. */
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  readonly text: string;
};

type PromiseHandlers = {
  readonly resolve: (answer: HttpResponse) => void;
  readonly reject: (error: Error) => void;
};

/** Many times all records of a large deployment; an answer without end would take all memory. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

function readResponse(response: IncomingMessage, { resolve, reject }: PromiseHandlers): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  response.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes <= MAX_RESPONSE_BYTES) chunks.push(chunk);
    else response.destroy(new Error(`the response has more than ${MAX_RESPONSE_BYTES} bytes`));
  });
  response.once('error', reject);
  response.once('end', () =>
    resolve({
      status: response.statusCode ?? 0,
      headers: response.headers,
      text: Buffer.concat(chunks).toString('utf8'),
    }),
  );
}

export class HttpClient {
  readonly #agent: Agent;

  constructor({ connections, keepAliveMs }: HttpClientOptions) {
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: connections,
      timeout: keepAliveMs,
      noDelay: true,
    });
  }

  /** Makes a call; rejects if no complete response arrives within the timeout. */
  async send(call: HttpCall): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      const outgoing = this.#createRequest(call);
      // A connection that no longer answers is closed together with the call that timed out.
      const timer = setTimeout(
        () => outgoing.destroy(new Error(`no response within ${call.timeoutMs} ms`)),
        call.timeoutMs,
      );
      outgoing.once('response', (response) => readResponse(response, { resolve, reject }));
      outgoing.once('error', reject);
      outgoing.once('close', () => clearTimeout(timer));
      outgoing.end(call.body);
    });
  }

  close(): void {
    this.#agent.destroy();
  }

  #createRequest({ url, method, body }: HttpCall): ClientRequest {
    const headers =
      body === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
    return request(url, { method, headers, agent: this.#agent });
  }
}
