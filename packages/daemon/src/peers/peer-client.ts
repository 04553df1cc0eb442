/**
 * Calls to other daemons. Requests go through undici's plain interface rather than `fetch`, which
 * costs several times the processor time, and their bytes are counted.
 */
import type { TRPCClient } from '@trpc/client';
import { Agent, request as sendHttp } from 'undici';

import type { Endpoint } from '../settings/index.js';
import type { PeerRouter } from './app.js';
import type { ControlMeter } from './control-meter.js';
import { PeerClients } from './peer-clients.js';

const CALL_TIMEOUT_MS = 700;
const CONNECT_TIMEOUT_MS = 400;
const KEEP_ALIVE_MS = 30_000;

export class PeerClient {
  readonly #agent = new Agent({
    connections: 2,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_MS,
  });

  readonly #clients = new PeerClients<PeerRouter>(async (url, body) => this.#send(url, body));

  readonly #findEndpoint: (endpoint: Endpoint) => Endpoint;

  readonly #meter: ControlMeter;

  /** `findEndpoint` says by which address a peer is reached. */
  constructor(findEndpoint: (endpoint: Endpoint) => Endpoint, meter: ControlMeter) {
    this.#findEndpoint = findEndpoint;
    this.#meter = meter;
  }

  /** The typed client of the daemon at an address. */
  connect(endpoint: Endpoint): TRPCClient<PeerRouter> {
    return this.#clients.connect(this.#findEndpoint(endpoint));
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(
    url: string,
    body: string,
  ): Promise<{ readonly status: number; readonly text: string }> {
    const response = await sendHttp(url, {
      dispatcher: this.#agent,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body,
      headersTimeout: CALL_TIMEOUT_MS,
      bodyTimeout: CALL_TIMEOUT_MS,
    });
    const text = await response.body.text();
    this.#meter.recordCall(body.length, text.length);
    return { status: response.statusCode, text };
  }
}
