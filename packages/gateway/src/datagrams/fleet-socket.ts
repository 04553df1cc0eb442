/**
 * The UDP socket for small, frequent messages between daemons: reports, gossip, and changes of
 * records. A datagram is one tag byte, which states the type of the message, and a body. Lost
 * datagrams are not sent again here; later messages make up for them.
 */
import { createSocket } from 'node:dgram';
import type { RemoteInfo, Socket } from 'node:dgram';

/** The type of a datagram. */
export type DatagramTag =
  | 'report'
  | 'gossip'
  | 'gossip-answer'
  | 'probe'
  | 'probe-answer'
  | 'poll'
  | 'news'
  | 'rate-limits'
  | 'crash-reports'
  | 'lease-question'
  | 'lease-answer'
  | 'account-usage';

const TAGS: readonly DatagramTag[] = [
  'report',
  'gossip',
  'gossip-answer',
  'probe',
  'probe-answer',
  'poll',
  'news',
  'rate-limits',
  'crash-reports',
  'lease-question',
  'lease-answer',
  'account-usage',
];

/** Handles a datagram's body and its sender's address; returns whether the body was valid. */
export type DatagramHandler = (body: Buffer, sender: string) => boolean;

export type FleetSocketDependencies = {
  readonly port: number;
  readonly onSent: (tag: DatagramTag, address: string, bytes: number) => void;
  /** Called with the sender's address of each datagram. */
  readonly onReceived?: (address: string) => void;
  readonly onFault: (reason: string) => void;
};

/** Size of the IP and UDP headers. */
const HEADER_BYTES = 28;
const NO_BODY = Buffer.alloc(0);

export class FleetSocket {
  readonly #socket: Socket = createSocket('udp4');

  readonly #dependencies: FleetSocketDependencies;

  readonly #handlers = new Map<DatagramTag, DatagramHandler>();

  #isClosed = false;

  constructor(dependencies: FleetSocketDependencies) {
    this.#dependencies = dependencies;
    this.#socket.on('message', (datagram, sender) => this.#handleDatagram(datagram, sender));
    this.#socket.on('error', (error) => dependencies.onFault(error.message));
  }

  async listen(address: string): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#socket.bind(this.#dependencies.port, address, resolve);
    });
  }

  /** Sets the handler for datagrams with a tag. */
  setHandler(tag: DatagramTag, handler: DatagramHandler): void {
    this.#handlers.set(tag, handler);
  }

  send(tag: DatagramTag, body: Buffer, address: string): void {
    if (this.#isClosed) return;
    const datagram = Buffer.concat([Buffer.of(TAGS.indexOf(tag)), body]);
    this.#dependencies.onSent(tag, address, datagram.length + HEADER_BYTES);
    this.#socket.send(datagram, this.#dependencies.port, address, (error) => {
      if (error && !this.#isClosed) this.#dependencies.onFault(error.message);
    });
  }

  close(): void {
    this.#isClosed = true;
    this.#socket.close();
  }

  #handleDatagram(datagram: Buffer, { address }: RemoteInfo): void {
    const tag = TAGS[datagram[0] ?? TAGS.length];
    const handler = tag === undefined ? undefined : this.#handlers.get(tag);
    const body = datagram.length > 1 ? datagram.subarray(1) : NO_BODY;
    try {
      this.#dependencies.onReceived?.(address);
      if (!handler?.(body, address))
        this.#dependencies.onFault(
          `datagram from ${address} has an unknown tag or an invalid body`,
        );
    } catch (error) {
      // No datagram may crash the process, whatever its content.
      this.#dependencies.onFault(`datagram from ${address} failed: ${(error as Error).message}`);
    }
  }
}
