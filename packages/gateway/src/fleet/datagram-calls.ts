/**
 * Gossip and probes by datagram. A call is sent once more if its answer does not come soon, since a
 * datagram may be lost; only what does not fit into one, all members at once, goes by trpc.
 */
import type { Member } from '@baobabline/core';
import type {
  Endpoint,
  ExchangeAnswer,
  ExchangeMessage,
  PeerClients,
  ProbeRequest,
} from '@baobabline/daemon';
import * as z from 'zod';

import {
  formatBody,
  formatMember,
  memberRowSchema,
  parseBody,
  parseMember,
} from '../datagrams/index.js';
import type { DatagramTag, FleetSocket } from '../datagrams/index.js';
import type { GatewayPeerRouter, PeerHandlers } from '../peers/index.js';

export type CallPorts = {
  readonly socket: FleetSocket;
  /** Carries what is too large for a datagram. */
  readonly client: PeerClients<GatewayPeerRouter>;
  readonly handlers: () => PeerHandlers;
};

/** Several round trips within a region; then the datagram was more likely lost. */
const RESEND_MS = 200;
const CALL_TIMEOUT_MS = 500;
/** A probe waits for the exchange that it stands for. */
const PROBE_TIMEOUT_MS = 700;
const MAX_CALL_ID = 2 ** 32;

const exchangeBodySchema = z.tuple([z.int(), memberRowSchema, z.array(memberRowSchema)]);
const probeBodySchema = z.tuple([z.int(), z.string(), z.int()]);
const probeAnswerSchema = z.tuple([z.int(), z.boolean()]);

type Waiting = {
  readonly resolve: (answer: never) => void;
  readonly timers: readonly NodeJS.Timeout[];
};

type Calls = {
  readonly exchange: { readonly mutate: (message: ExchangeMessage) => Promise<ExchangeAnswer> };
  readonly probe: { readonly mutate: (target: ProbeRequest) => Promise<boolean> };
};

function formatExchange(callId: number, { from, updates }: ExchangeAnswer): Buffer {
  return formatBody([callId, formatMember(from), updates.map(formatMember)]);
}

function parseExchange(
  body: Buffer,
): { readonly callId: number; readonly message: ExchangeAnswer } | undefined {
  const parsed = parseBody(body, exchangeBodySchema);
  if (!parsed) return undefined;
  const [callId, from, rows] = parsed;
  const updates: Member[] = rows.map(parseMember);
  return { callId, message: { from: parseMember(from), updates, versions: [] } };
}

export class DatagramCalls {
  readonly #ports: CallPorts;

  readonly #waiting = new Map<number, Waiting>();

  #lastCallId = 0;

  constructor(ports: CallPorts) {
    this.#ports = ports;
    const { socket } = ports;
    socket.setHandler('gossip', (body, sender) => this.#handleExchange(body, sender));
    socket.setHandler('gossip-answer', (body) => this.#handleExchangeAnswer(body));
    socket.setHandler('probe', (body, sender) => this.#handleProbe(body, sender));
    socket.setHandler('probe-answer', (body) => this.#handleProbeAnswer(body));
  }

  /** The calls on the daemon at an endpoint. */
  connect(endpoint: Endpoint): Calls {
    const { address } = endpoint;
    return {
      exchange: {
        mutate: async (message) =>
          message.wantsAll
            ? this.#ports.client.connect(endpoint).exchange.mutate(message)
            : this.#sendCall<ExchangeAnswer>('gossip', address, CALL_TIMEOUT_MS, (callId) =>
                formatExchange(callId, message),
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
    const { socket } = this.#ports;
    return new Promise<Answer>((resolve, reject) => {
      const timers = [
        setTimeout(() => socket.send(tag, body, address), RESEND_MS),
        setTimeout(() => {
          this.#waiting.delete(callId);
          reject(new Error(`no answer in ${timeoutMs} ms`));
        }, timeoutMs),
      ];
      this.#waiting.set(callId, { resolve, timers });
      socket.send(tag, body, address);
    });
  }

  #settle(callId: number, answer: unknown): void {
    const waiting = this.#waiting.get(callId);
    if (!waiting) return;
    this.#waiting.delete(callId);
    waiting.timers.forEach((timer) => clearTimeout(timer));
    waiting.resolve(answer as never);
  }

  #handleExchange(body: Buffer, sender: string): boolean {
    const parsed = parseExchange(body);
    if (!parsed) return false;
    const answer = this.#ports.handlers().exchange({ ...parsed.message, wantsAll: false });
    this.#ports.socket.send('gossip-answer', formatExchange(parsed.callId, answer), sender);
    return true;
  }

  #handleExchangeAnswer(body: Buffer): boolean {
    const parsed = parseExchange(body);
    if (parsed) this.#settle(parsed.callId, parsed.message);
    return parsed !== undefined;
  }

  #handleProbe(body: Buffer, sender: string): boolean {
    const parsed = parseBody(body, probeBodySchema);
    if (!parsed) return false;
    const [callId, address, port] = parsed;
    const answer = (isReached: boolean): void =>
      this.#ports.socket.send('probe-answer', formatBody([callId, isReached]), sender);
    this.#ports
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
