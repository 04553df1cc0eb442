/**
 * Reads and watches the platform's services through Consul's key-value HTTP interface.
 */
import { Agent, request as sendHttp } from 'undici';
import * as z from 'zod';

import type { Endpoint } from '../settings/index.js';

const READ_TIMEOUT_MS = 2000;
const WATCH_GRACE_MS = 2000;
/** Values are base64; one far over the limit of a megabyte is still read, to be refused by name. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

export type KeyValue = { readonly index: number; readonly text: string };

const rowsSchema = z.array(z.object({ Value: z.string(), ModifyIndex: z.number() })).min(1);

export class KeyValueClient {
  readonly #origin: string;

  readonly #agent = new Agent({
    connections: 2,
    maxResponseSize: MAX_RESPONSE_BYTES,
    connect: { timeout: READ_TIMEOUT_MS },
  });

  constructor(endpoint: Endpoint) {
    this.#origin = `http://${endpoint.address}:${endpoint.port}`;
  }

  /** Reads a value now; undefined if there is none. Rejects when the service is away. */
  async read(key: string): Promise<KeyValue | undefined> {
    return this.#fetch(`/v1/kv/${encodeURIComponent(key)}`, READ_TIMEOUT_MS);
  }

  /** Waits until the value's index differs from the known one, or `waitMs` have passed. */
  async watch(key: string, knownIndex: number, waitMs: number): Promise<KeyValue | undefined> {
    const query = `index=${knownIndex}&wait=${waitMs}ms`;
    return this.#fetch(`/v1/kv/${encodeURIComponent(key)}?${query}`, waitMs + WATCH_GRACE_MS);
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #fetch(path: string, timeoutMs: number): Promise<KeyValue | undefined> {
    const response = await sendHttp(`${this.#origin}${path}`, {
      dispatcher: this.#agent,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    if (response.statusCode === 404) {
      await response.body.dump();
      return undefined;
    }
    const [row] = rowsSchema.parse(await response.body.json());
    if (!row) return undefined;
    return { index: row.ModifyIndex, text: Buffer.from(row.Value, 'base64').toString('utf8') };
  }
}
