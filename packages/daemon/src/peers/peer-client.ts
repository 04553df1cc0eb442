/**
 * Calls to other daemons. Requests go through undici's plain interface rather than `fetch`, which
 * costs several times the processor time, and their bytes are counted.
 */
import { createTRPCClient, httpLink } from '@trpc/client';
import type { HTTPLinkOptions, TRPCClient } from '@trpc/client';
import type { AnyTRPCRouter } from '@trpc/server';
import { LRUCache } from 'lru-cache';
import { Agent, request as sendHttp } from 'undici';

import type { Endpoint } from '../settings/index.js';
import type { PeerRouter } from './app.js';
import type { ControlMeter } from './control-meter.js';

const CALL_TIMEOUT_MS = 700;
const CONNECT_TIMEOUT_MS = 400;
const KEEP_ALIVE_MS = 30_000;
const KEPT_PEERS = 1024;

type FetchOptions = { readonly body?: unknown; readonly headers?: unknown };

/** Typed by the router that the peers serve. */
export class PeerClient<Router extends AnyTRPCRouter = PeerRouter> {
  readonly #agent = new Agent({
    connections: 2,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_MS,
  });

  readonly #clients = new LRUCache<string, TRPCClient<Router>>({ max: KEPT_PEERS });

  readonly #findEndpoint: (endpoint: Endpoint) => Endpoint;

  readonly #meter: ControlMeter;

  /** `findEndpoint` says by which address a peer is reached. */
  constructor(findEndpoint: (endpoint: Endpoint) => Endpoint, meter: ControlMeter) {
    this.#findEndpoint = findEndpoint;
    this.#meter = meter;
  }

  /** The typed client of the daemon at an address. */
  connect(endpoint: Endpoint): TRPCClient<Router> {
    const { address, port } = this.#findEndpoint(endpoint);
    const origin = `http://${address}:${port}`;
    const known = this.#clients.get(origin);
    if (known) return known;
    // No router of ours transforms its messages, which the type cannot know of any router.
    const options = {
      url: `${origin}/trpc`,
      fetch: async (url: unknown, init?: FetchOptions) => this.#send(String(url), init ?? {}),
    } as unknown as HTTPLinkOptions<Router['_def']['_config']['$types']>;
    const client = createTRPCClient<Router>({ links: [httpLink(options)] });
    this.#clients.set(origin, client);
    return client;
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(url: string, options: FetchOptions): Promise<Response> {
    const body = String(options.body ?? '');
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
    return {
      ok: response.statusCode < 400,
      status: response.statusCode,
      json: async () => JSON.parse(text) as unknown,
    } as unknown as Response;
  }
}
