/**
 * A caller that uses the platform's headers, reuses its connections and returns the result of each
 * request.
 */
import { Agent, request } from 'node:http';

export type WireRequest = {
  readonly id: string;
  readonly address: string;
  readonly port: number;
  readonly host: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly timeLimitMs: number;
  /** The key of the caller's account; undefined if the request bears none. */
  readonly key?: string;
};

export type WireReply = {
  /** 0 where the connection ended without a whole answer. */
  readonly status: number;
  readonly body: string;
  /** The upstream's signature; empty where the answer bears none. */
  readonly signature: string;
  readonly retryAfterSeconds: number | undefined;
};

const NO_REPLY: WireReply = { status: 0, body: '', signature: '', retryAfterSeconds: undefined };
/** Time that a caller waits beyond the limit that it sends. */
const GRACE_MS = 1000;

export class WireCaller {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 64 });

  /** Sends a request; resolves in any case. */
  async send(wire: WireRequest): Promise<WireReply> {
    const { id, address, port, host, method, path, timeLimitMs, key } = wire;
    return new Promise((resolve) => {
      const outgoing = request({
        agent: this.#agent,
        host: address,
        port,
        path,
        method,
        headers: {
          host,
          'x-request-id': id,
          'x-deadline-ms': String(timeLimitMs),
          ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        },
        timeout: timeLimitMs + GRACE_MS,
      });
      outgoing.once('timeout', () => outgoing.destroy());
      outgoing.once('error', () => resolve(NO_REPLY));
      outgoing.once('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.once('error', () => resolve(NO_REPLY));
        response.once('end', () => {
          const retryAfter = response.headers['retry-after'];
          resolve({
            status: response.statusCode ?? 0,
            body: Buffer.concat(chunks).toString(),
            signature: String(response.headers['x-response-signature'] ?? ''),
            retryAfterSeconds: retryAfter === undefined ? undefined : Number(retryAfter),
          });
        });
      });
      outgoing.end();
    });
  }

  close(): void {
    this.#agent.destroy();
  }
}
