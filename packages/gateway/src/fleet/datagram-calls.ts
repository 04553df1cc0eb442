/**
 * Gossip and probes by datagram. A call without a prompt answer is sent once more, since datagrams
 * may be lost. Only the full list of members, which does not fit into a datagram, is fetched by HTTP.
 */
import type { Endpoint, ExchangeAnswer, ExchangeMessage, ProbeRequest } from '@baobabline/daemon';
import { countField, ipAddressField, listenPortField } from '@baobabline/core';
import * as z from 'zod';

import {
  exchangeRowsSchema,
  formatBody,
  formatExchange,
  parseBody,
  parseExchange,
} from '../datagrams/index.js';
import type { DatagramTag, FleetSocket } from '../datagrams/index.js';
import type { PeerHandlers } from '../peers/index.js';

export type DatagramCallsDependencies = {
  readonly socket: FleetSocket;
  /** Fetches the full list of members from a daemon; it does not fit into a datagram. */
  readonly fetchMembers: (endpoint: Endpoint, message: ExchangeAnswer) => Promise<ExchangeAnswer>;
  readonly handlers: () => PeerHandlers;
};

/** Several round trips within a region; a later answer is less likely than a lost datagram. */
const RESEND_MS = 200;
const CALL_TIMEOUT_MS = 500;
/** Longer than a call, since the probed daemon's exchange must finish first. */
const PROBE_TIMEOUT_MS = 700;
const MAX_CALL_ID = 2 ** 32;

const exchangeBodySchema = z.tuple([countField, exchangeRowsSchema]);
const probeBodySchema = z.tuple([countField, ipAddressField, listenPortField]);
const probeAnswerSchema = z.tuple([countField, z.boolean()]);

type PendingCall = {
  readonly resolve: (answer: never) => void;
  readonly timers: readonly NodeJS.Timeout[];
};

type Calls = {
  readonly exchange: { readonly mutate: (message: ExchangeMessage) => Promise<ExchangeAnswer> };
  readonly probe: { readonly mutate: (target: ProbeRequest) => Promise<boolean> };
};

export class DatagramCalls {
  readonly #dependencies: DatagramCallsDependencies;

  readonly #pendingCalls = new Map<number, PendingCall>();

  #lastCallId = 0;

  constructor(dependencies: DatagramCallsDependencies) {
    this.#dependencies = dependencies;
    const { socket } = dependencies;
    socket.setHandler('gossip', (body, sender) => this.#handleExchange(body, sender));
    socket.setHandler('gossip-answer', (body) => this.#handleExchangeAnswer(body));
    socket.setHandler('probe', (body, sender) => this.#handleProbe(body, sender));
    socket.setHandler('probe-answer', (body) => this.#handleProbeAnswer(body));
  }

  /** Returns the calls to the daemon at an endpoint; they reject if no answer arrives in time. */
  connect(endpoint: Endpoint): Calls {
    const { address } = endpoint;
    return {
      exchange: {
        mutate: async (message) =>
          message.wantsAll
            ? this.#dependencies.fetchMembers(endpoint, message)
            : this.#sendCall<ExchangeAnswer>('gossip', address, CALL_TIMEOUT_MS, (callId) =>
                formatBody([callId, formatExchange(message)]),
              ),
      },
      probe: {
        mutate: async (target) =>
          this.#sendCall<boolean>('probe', address, PROBE_TIMEOUT_MS, (callId) =>
            formatBody([callId, target.address, target.port]),
          ),
      },
    };
  }

  async #sendCall<Answer>(
    tag: DatagramTag,
    address: string,
    timeoutMs: number,
    format: (callId: number) => Buffer,
  ): Promise<Answer> {
    this.#lastCallId = (this.#lastCallId + 1) % MAX_CALL_ID;
    const callId = this.#lastCallId;
    const body = format(callId);
    const { socket } = this.#dependencies;
    return new Promise<Answer>((resolve, reject) => {
      const timers = [
        setTimeout(() => socket.send(tag, body, address), RESEND_MS),
        setTimeout(() => {
          this.#pendingCalls.delete(callId);
          reject(new Error(`no answer in ${timeoutMs} ms`));
        }, timeoutMs),
      ];
      this.#pendingCalls.set(callId, { resolve, timers });
      socket.send(tag, body, address);
    });
  }

  #settle(callId: number, answer: unknown): void {
    const pending = this.#pendingCalls.get(callId);
    if (!pending) return;
    this.#pendingCalls.delete(callId);
    pending.timers.forEach((timer) => clearTimeout(timer));
    pending.resolve(answer as never);
  }

  #handleExchange(body: Buffer, sender: string): boolean {
    const parsed = parseBody(body, exchangeBodySchema);
    if (!parsed) return false;
    const [callId, rows] = parsed;
    const { handlers, socket } = this.#dependencies;
    const answer = handlers().exchange({ ...parseExchange(rows), wantsAll: false });
    socket.send('gossip-answer', formatBody([callId, formatExchange(answer)]), sender);
    return true;
  }

  #handleExchangeAnswer(body: Buffer): boolean {
    const parsed = parseBody(body, exchangeBodySchema);
    if (parsed) this.#settle(parsed[0], parseExchange(parsed[1]));
    return parsed !== undefined;
  }

  #handleProbe(body: Buffer, sender: string): boolean {
    const parsed = parseBody(body, probeBodySchema);
    if (!parsed) return false;
    const [callId, address, port] = parsed;
    const answer = (isReached: boolean): void =>
      this.#dependencies.socket.send('probe-answer', formatBody([callId, isReached]), sender);
    this.#dependencies
      .handlers()
      .probe({ address, port })
      .then(answer, () => answer(false));
    return true;
  }

  #handleProbeAnswer(body: Buffer): boolean {
    const parsed = parseBody(body, probeAnswerSchema);
    if (parsed) this.#settle(...parsed);
    return parsed !== undefined;
  }
}
