/**
 * Typed trpc clients of other daemons, over whatever carries their calls.
 */
import { createTRPCClient, httpLink } from '@trpc/client';
import type { HTTPLinkOptions, TRPCClient } from '@trpc/client';
import type { AnyTRPCRouter } from '@trpc/server';
import { LRUCache } from 'lru-cache';

import type { Endpoint } from '../settings/index.js';

/** Posts a JSON text; rejects if no whole answer comes. */
export type SendCall = (
  url: string,
  body: string,
) => Promise<{ readonly status: number; readonly text: string }>;

type FetchOptions = { readonly body?: unknown };

const KEPT_PEERS = 1024;
const FIRST_ERROR_STATUS = 400;

/** Typed by the router that the peers serve. */
export class PeerClients<Router extends AnyTRPCRouter> {
  readonly #clients = new LRUCache<string, TRPCClient<Router>>({ max: KEPT_PEERS });

  readonly #sendCall: SendCall;

  constructor(sendCall: SendCall) {
    this.#sendCall = sendCall;
  }

  /** The typed client of the daemon at an address. */
  connect({ address, port }: Endpoint): TRPCClient<Router> {
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

  async #send(url: string, { body }: FetchOptions): Promise<Response> {
    const { status, text } = await this.#sendCall(url, String(body ?? ''));
    return {
      ok: status < FIRST_ERROR_STATUS,
      status,
      json: async () => JSON.parse(text) as unknown,
    } as unknown as Response;
  }
}
