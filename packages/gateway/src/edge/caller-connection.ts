/**
 * A caller's connection: the requests on it, and its end. A socket that is closed while bytes of the
 * caller are unread is reset, and the reset discards answers that the caller has not read yet (RFC
 * 9112, 9.6). So a connection ends in two steps: this side is closed behind the last answer, and what
 * the caller still sends is read and dropped until the caller closes its side.
 */
import type { Socket } from 'node:net';

import { Pipeline } from './pipeline.js';

/** A caller that does not close its side is waited for so long. */
const LINGER_MS = 2000;

export class CallerConnection {
  readonly pipeline: Pipeline;

  readonly #socket: Socket;

  #isClosing = false;

  /** `isLeaving` tells whether the connection is to end with the next answer that can. */
  constructor(socket: Socket, isLeaving: () => boolean) {
    this.#socket = socket;
    this.pipeline = new Pipeline(isLeaving);
    // Node's HTTP server ends a connection with this method, which closes it without reading on.
    this.#socket.destroySoon = () => this.close();
    this.#socket.once('close', () => this.pipeline.handleGone());
  }

  /** Whether nothing more is answered on it. */
  get isClosing(): boolean {
    return this.#isClosing;
  }

  /** Closes it gracefully behind what has been written; requests without an answer are given up. */
  close(): void {
    if (this.#isClosing) return;
    this.#isClosing = true;
    this.pipeline.handleGone();
    // No request any more for the HTTP server, which would hold each of them until the socket closes.
    this.#socket.removeAllListeners('data');
    this.#socket.on('data', () => undefined);
    this.#socket.resume();
    this.#socket.end();
    const timer = setTimeout(() => this.#socket.destroy(), LINGER_MS);
    this.#socket.once('close', () => clearTimeout(timer));
  }

  /** Closes it at once. */
  abort(): void {
    this.#socket.destroy();
  }
}
