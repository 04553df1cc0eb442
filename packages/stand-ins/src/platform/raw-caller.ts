/**
 * A caller that writes bytes to one connection as a test wants them, and keeps what comes back.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';

import { waitUntilMet } from './stop-scene.js';

export class RawCaller {
  readonly #socket: Socket;

  #chunks: readonly string[] = [];

  #pieceMs: number | undefined;

  #onPiece: () => void = () => undefined;

  #isClosed = false;

  constructor(address: string, port: number) {
    this.#socket = connect({ host: address, port, allowHalfOpen: true });
    this.#socket.on('data', (chunk: Buffer) => this.#handleChunk(chunk));
    this.#socket.on('error', () => undefined);
    this.#socket.once('end', () => {
      this.#isClosed = true;
    });
    this.#socket.once('close', () => {
      this.#isClosed = true;
    });
  }

  /** All that has come. */
  get text(): string {
    return this.#chunks.join('');
  }

  /** Statuses of the answers that have come, interim ones included. */
  get statuses(): readonly number[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => Number(status));
  }

  /** Whether the daemon has ended the connection. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  write(text: string): void {
    if (this.#socket.writable) this.#socket.write(text);
  }

  /** Takes a piece of what has come at most this often, and calls back for each. */
  setPace(pieceMs: number, onPiece: () => void): void {
    this.#pieceMs = pieceMs;
    this.#onPiece = onPiece;
  }

  /** Ends its own direction of the connection. */
  finishWriting(): void {
    this.#socket.end();
  }

  async waitForStatuses(count: number): Promise<void> {
    await waitUntilMet(`${count} answers`, () => this.statuses.length >= count || this.#isClosed);
  }

  async waitUntilClosed(): Promise<void> {
    await waitUntilMet('the end of the connection', () => this.#isClosed);
  }

  close(): void {
    this.#socket.destroy();
  }

  #handleChunk(chunk: Buffer): void {
    this.#chunks = [...this.#chunks, chunk.toString('latin1')];
    if (this.#pieceMs === undefined) return;
    this.#socket.pause();
    this.#onPiece();
    setTimeout(() => this.#socket.resume(), this.#pieceMs);
  }
}
