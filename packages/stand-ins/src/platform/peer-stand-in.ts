/**
 * Stand-in for another daemon of the fleet, as far as membership goes: daemons that join by it know it
 * as a member and tell it of their state. It can fall silent at the moment at which it hears that a
 * daemon has left, so that this daemon waits in vain for its answer. It shares no code with the gateway.
 */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { pack, unpack } from 'msgpackr';

import { GATEWAY_PORTS } from './gateway-process.js';

export type PeerStandInSettings = {
  readonly id: string;
  readonly dataCentre: string;
  readonly address: string;
};

/** A member as it stands in messages; the state is the eighth field. */
type MemberRow = readonly (string | number)[];

const GOSSIP_TAG = 1;
const GOSSIP_ANSWER_TAG = 2;
const STATE_FIELD = 7;
const SERVING = 1;
const LEFT = 4;
const NOT_FOUND_STATUS = 404;

export class PeerStandIn {
  readonly #settings: PeerStandInSettings;

  readonly #server: Server;

  readonly #socket: Socket = createSocket('udp4');

  #isSilent = false;

  #onLeft: (id: string) => void = () => undefined;

  constructor(settings: PeerStandInSettings) {
    this.#settings = settings;
    this.#server = createServer((message, response) => this.#handleCall(message, response));
    this.#socket.on('message', (datagram, { address, port }) =>
      this.#handleDatagram(datagram, address, port),
    );
  }

  async listen(): Promise<void> {
    const { address } = this.#settings;
    await Promise.all([
      new Promise<void>((resolve) => {
        this.#server.listen(GATEWAY_PORTS.control, address, resolve);
      }),
      new Promise<void>((resolve) => {
        this.#socket.bind(GATEWAY_PORTS.internal, address, resolve);
      }),
    ]);
  }

  async close(): Promise<void> {
    this.#socket.close();
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    this.#server.closeAllConnections();
    await closed;
  }

  /** Answers nothing any more from now on. */
  setSilent(): void {
    this.#isSilent = true;
  }

  /** Calls back, and falls silent, as soon as a daemon says that it has left. */
  setSilentOnLeft(onLeft: (id: string) => void): void {
    this.#onLeft = (id) => {
      this.setSilent();
      onLeft(id);
    };
  }

  /** Calls back as soon as a daemon says that it has left. */
  watchLeft(onLeft: (id: string) => void): void {
    this.#onLeft = onLeft;
  }

  get #row(): MemberRow {
    const { id, address, dataCentre } = this.#settings;
    const { control, front } = GATEWAY_PORTS;
    return [id, address, control, front, dataCentre, 1, 1, SERVING, 1, 0];
  }

  #handleCall(message: IncomingMessage, response: ServerResponse): void {
    if (this.#isSilent) return;
    message.resume();
    if (message.url === '/members') response.end(JSON.stringify([this.#row, []]));
    else response.writeHead(NOT_FOUND_STATUS).end();
  }

  #handleDatagram(datagram: Buffer, address: string, port: number): void {
    if (this.#isSilent || datagram[0] !== GOSSIP_TAG) return;
    const [callId, [sender]] = unpack(datagram.subarray(1)) as [number, [MemberRow]];
    if (sender[STATE_FIELD] === LEFT) {
      this.#onLeft(String(sender[0]));
      if (this.#isSilent) return;
    }
    const answer = Buffer.concat([Buffer.of(GOSSIP_ANSWER_TAG), pack([callId, [this.#row, []]])]);
    this.#socket.send(answer, port, address);
  }
}
