/**
 * The connection that belongs to one slot. One request at a time travels on it; when a request
 * is given up or fails the connection is closed and the next request gets a new one.
 */
import { Client } from 'undici';

const CONNECT_TIMEOUT_MS = 500;
const KEEP_ALIVE_MS = 55_000;

export class UpstreamLink {
  readonly origin: string;

  #client: Client;

  #fresh = true;

  #answeredAt = 0;

  constructor(origin: string) {
    this.origin = origin;
    this.#client = this.#createClient();
  }

  get client(): Client {
    return this.#client;
  }

  /** Whether no answer has come back on this connection yet. */
  get isFresh(): boolean {
    return this.#fresh || !this.#client.stats.connected;
  }

  recordAnswer(now: number): void {
    this.#fresh = false;
    this.#answeredAt = now;
  }

  /**
   * Replaces a connection that has been idle for long: something between the two ends may have
   * lost track of it, and a new one costs about a millisecond.
   */
  replaceIfIdle(idleMs: number, now: number): void {
    if (!this.#fresh && now - this.#answeredAt > idleMs) this.replace();
  }

  /** Closes the connection and prepares a new one. */
  replace(): void {
    this.close();
    this.#client = this.#createClient();
    this.#fresh = true;
  }

  close(): void {
    this.#client.destroy().catch(() => undefined);
  }

  #createClient(): Client {
    return new Client(this.origin, {
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
}
