/**
 * A TCP proxy that injects faults on the link between two processes: each direction can be
 * delayed, stalled or dropped, connections can be reset or fall silent while new ones work.
 */
import { createServer, connect } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

export type Direction = 'forward' | 'backward';

export type DirectionFault = 'none' | 'drop';

/** A server that has ended its side ignores this. */
const EMPTY_LINE = '\r\n';

type Link = {
  readonly near: Socket;
  readonly far: Socket;
  /** Set once the connection has fallen silent for good. */
  readonly silent: { value: boolean };
};

export class FaultProxy {
  readonly #server: Server;

  readonly #target: { readonly address: string; readonly port: number };

  #links: readonly Link[] = [];

  /** Also those that have outlived the other end of their link. */
  readonly #sockets = new Set<Socket>();

  #faults: Readonly<Record<Direction, DirectionFault>> = { forward: 'none', backward: 'none' };

  #delayMs = 0;

  constructor(target: { readonly address: string; readonly port: number }) {
    this.#target = target;
    this.#server = createServer({ allowHalfOpen: true }, (near) => this.#accept(near));
  }

  async start(address = '127.0.0.1'): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, address, resolve);
    });
  }

  async stop(): Promise<void> {
    this.reset();
    this.#sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Drops all data in one direction from now on, or lets it pass again. */
  setFault(direction: Direction, fault: DirectionFault): void {
    this.#faults = { ...this.#faults, [direction]: fault };
  }

  /** Delays data in both directions. */
  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Resets all open connections. */
  reset(): void {
    this.#links.forEach(({ near, far }) => {
      near.resetAndDestroy();
      far.resetAndDestroy();
    });
  }

  /** Lets all open connections fall silent for good; new ones work. */
  silence(): void {
    this.#links.forEach((link) => {
      const { silent } = link;
      silent.value = true;
    });
  }

  #accept(near: Socket): void {
    const { port, address } = this.#target;
    const far = connect({ port, host: address, allowHalfOpen: true });
    const link: Link = { near, far, silent: { value: false } };
    this.#links = [...this.#links, link];
    near.on('data', (data) => this.#pass(link, 'forward', data));
    far.on('data', (data) => this.#pass(link, 'backward', data));
    this.#closeTogether(link);
  }

  #closeTogether(link: Link): void {
    const { near, far, silent } = link;
    const end = (): void => {
      this.#links = this.#links.filter((other) => other !== link);
      if (silent.value) return;
      near.destroy();
      far.destroy();
    };
    const passReset = (other: Socket): void => {
      if (!silent.value) other.resetAndDestroy();
    };
    near.on('error', () => passReset(far));
    far.on('error', () => passReset(near));
    near.on('end', () => far.end());
    // Node reports a reset that arrives together with data as an end. Only a write reveals it.
    far.on('end', () =>
      far.write(EMPTY_LINE, (error) => {
        if (silent.value) return;
        if (error) near.resetAndDestroy();
        else near.end();
      }),
    );
    [near, far].forEach((socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => {
        this.#sockets.delete(socket);
        end();
      });
    });
  }

  #pass(link: Link, direction: Direction, data: Buffer): void {
    if (link.silent.value || this.#faults[direction] === 'drop') return;
    const target = direction === 'forward' ? link.far : link.near;
    if (this.#delayMs === 0) {
      target.write(data);
      return;
    }
    setTimeout(() => target.destroyed || target.write(data), this.#delayMs);
  }
}
