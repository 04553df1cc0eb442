/**
 * Calls to other daemons and to the platform's store. They stand on Node's own client: loading
 * undici costs as much time at the start of a daemon as all of its own code.
 */
import { Agent, request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';

export type CallSettings = {
  /** Connections to one address. */
  readonly connections: number;
  /** How long an idle connection is kept. */
  readonly keepAliveMs: number;
};

export type Call = {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  /** JSON text. */
  readonly body?: string;
  /** Time for the whole call, the connection included. */
  readonly timeoutMs: number;
};

export type CallAnswer = { readonly status: number; readonly text: string };

type Settle = {
  readonly resolve: (answer: CallAnswer) => void;
  readonly reject: (error: Error) => void;
};

function readAnswer(response: IncomingMessage, { resolve, reject }: Settle): void {
  const chunks: Buffer[] = [];
  response.on('data', (chunk: Buffer) => chunks.push(chunk));
  response.once('error', reject);
  response.once('end', () =>
    resolve({ status: response.statusCode ?? 0, text: Buffer.concat(chunks).toString('utf8') }),
  );
}

export class HttpCalls {
  readonly #agent: Agent;

  constructor({ connections, keepAliveMs }: CallSettings) {
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: connections,
      timeout: keepAliveMs,
      noDelay: true,
    });
  }

  /** Makes a call; rejects if no whole answer comes in time. */
  async send(call: Call): Promise<CallAnswer> {
    return new Promise((resolve, reject) => {
      const outgoing = this.#begin(call);
      // A connection that has fallen silent is closed with the call that finds it out.
      const timer = setTimeout(
        () => outgoing.destroy(new Error(`no answer in ${call.timeoutMs} ms`)),
        call.timeoutMs,
      );
      outgoing.once('response', (response) => readAnswer(response, { resolve, reject }));
      outgoing.once('error', reject);
      outgoing.once('close', () => clearTimeout(timer));
      outgoing.end(call.body);
    });
  }

  close(): void {
    this.#agent.destroy();
  }

  #begin({ url, method, body }: Call): ClientRequest {
    const headers =
      body === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
    return request(url, { method, headers, agent: this.#agent });
  }
}
