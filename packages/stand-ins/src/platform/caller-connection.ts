/**
 * One connection of a caller that uses the platform's headers. It can send requests before earlier
 * ones are answered, bodies in pieces, ask before it sends a body, and read slowly; and it notes when
 * a request was sent whole and how it ended.
 */
import { createConnection } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

export type ConnectionRequest = {
  readonly id: string;
  readonly host: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly timeLimitMs: number;
  /** The key of a client account; none is sent without it. */
  readonly key?: string;
  readonly bodyBytes?: number;
  /** The body is sent in so many pieces, and so long apart. */
  readonly pieces?: number;
  readonly pieceGapMs?: number;
  /** Whether the body waits for a `100 Continue`. */
  readonly waitsForContinue?: boolean;
  /** The caller stops reading for so long after each piece of the answer. */
  readonly readPauseMs?: number;
};

/** Times are of `performance.now()`. */
export type ConnectionReply = {
  readonly sentAt: number;
  /** When the last byte was handed to the socket; undefined if it never was. */
  readonly wholeAt: number | undefined;
  readonly endAt: number;
  /** 0 where the connection ended without a whole answer. */
  readonly status: number;
  readonly body: string;
  /** The upstream's signature; empty where the answer bears none. */
  readonly signature: string;
  /** Whether an earlier answer had announced the end of the connection. */
  readonly isBehindLast: boolean;
  /** Whether the connection had carried an answer, or a `100 Continue`, before. */
  readonly isReused: boolean;
};

type Waiting = {
  readonly request: ConnectionRequest;
  readonly onContinue: () => void;
  readonly onEnd: (end: Omit<ConnectionReply, 'sentAt' | 'wholeAt'>) => void;
};

const HEAD_END = '\r\n\r\n';
const FIRST_FINAL_STATUS = 200;
/** Time that a caller waits beyond the limit that it sends. */
const GRACE_MS = 1000;

function formatHead(request: ConnectionRequest): string {
  const { id, host, method, path, timeLimitMs, key, bodyBytes = 0, waitsForContinue } = request;
  return [
    `${method} ${path} HTTP/1.1`,
    `Host: ${host}`,
    `X-Request-Id: ${id}`,
    `X-Deadline-Ms: ${timeLimitMs}`,
    ...(key === undefined ? [] : [`Authorization: Bearer ${key}`]),
    ...(method === 'POST' ? [`Content-Length: ${bodyBytes}`] : []),
    ...(waitsForContinue ? ['Expect: 100-continue'] : []),
  ]
    .join('\r\n')
    .concat(HEAD_END);
}

export class CallerConnection {
  readonly #socket: Socket;

  #waiting: readonly Waiting[] = [];

  #received: Buffer = Buffer.alloc(0);

  #isEnding = false;

  #hasAnswered = false;

  constructor(address: string, port: number) {
    this.#socket = createConnection({ host: address, port, noDelay: true });
    // What went wrong shows in what is unanswered at the close.
    this.#socket.on('error', () => undefined);
    this.#socket.on('data', (data) => this.#handleData(data));
    this.#socket.once('close', () => this.#handleClose());
  }

  /** Whether it takes another request. */
  get isUsable(): boolean {
    return !this.#isEnding && this.#socket.writable;
  }

  /** Resolves once the connection stands, or is refused. */
  async connect(): Promise<boolean> {
    return new Promise((resolve) => {
      this.#socket.once('connect', () => resolve(true));
      this.#socket.once('close', () => resolve(false));
    });
  }

  /** Sends a request; resolves in any case, once it is answered or the connection is gone. */
  async send(request: ConnectionRequest): Promise<ConnectionReply> {
    const sentAt = performance.now();
    const timer = setTimeout(() => this.close(), request.timeLimitMs + GRACE_MS);
    let body: Promise<number | undefined> = Promise.resolve(undefined);
    const end = await new Promise<Omit<ConnectionReply, 'sentAt' | 'wholeAt'>>((resolve) => {
      const continued = new Promise<void>((onContinue) => {
        this.#waiting = [...this.#waiting, { request, onContinue, onEnd: resolve }];
      });
      body = this.#write(request, continued);
      if (this.#socket.destroyed) this.#handleClose();
    });
    clearTimeout(timer);
    return { ...end, sentAt, wholeAt: await body };
  }

  close(): void {
    this.#socket.destroy();
  }

  async #write(request: ConnectionRequest, continued: Promise<void>): Promise<number | undefined> {
    const { bodyBytes = 0, pieces = 1, pieceGapMs = 0, waitsForContinue = false } = request;
    const head = Buffer.from(formatHead(request));
    const piece = Buffer.alloc(Math.floor(bodyBytes / pieces), 'b');
    const last = Buffer.alloc(bodyBytes - piece.length * (pieces - 1), 'b');
    if (pieces === 1 && !waitsForContinue) return this.#pass(Buffer.concat([head, last]));
    await this.#pass(head);
    if (waitsForContinue) await continued;
    await Array.from({ length: pieces - 1 }).reduce<Promise<void>>(async (before) => {
      await before;
      await this.#pass(piece);
      await wait(pieceGapMs);
    }, Promise.resolve());
    return this.#pass(last);
  }

  async #pass(data: Buffer): Promise<number | undefined> {
    return new Promise((resolve) => {
      this.#socket.write(data, (error) => resolve(error ? undefined : performance.now()));
    });
  }

  #handleData(data: Buffer): void {
    this.#received = Buffer.concat([this.#received, data]);
    const pauseMs = this.#waiting[0]?.request.readPauseMs;
    if (pauseMs !== undefined) {
      this.#socket.pause();
      setTimeout(() => this.#socket.resume(), pauseMs);
    }
    this.#parse();
  }

  #parse(): void {
    const headEnd = this.#received.indexOf(HEAD_END);
    if (headEnd < 0) return;
    const bodyStart = headEnd + HEAD_END.length;
    const [statusLine = '', ...lines] = this.#received.toString('latin1', 0, headEnd).split('\r\n');
    const headers = new Map(
      lines.map((line) => {
        const colon = line.indexOf(':');
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
      }),
    );
    const status = Number(statusLine.split(' ')[1]);
    const isFinal = status >= FIRST_FINAL_STATUS;
    const end = bodyStart + (isFinal ? Number(headers.get('content-length') ?? 0) : 0);
    if (this.#received.length < end) return;
    const body = this.#received.toString('utf8', bodyStart, end);
    this.#received = this.#received.subarray(end);
    const [first, ...others] = this.#waiting;
    first?.onContinue();
    const isReused = this.#hasAnswered;
    this.#hasAnswered = true;
    if (isFinal) {
      this.#waiting = others;
      const signature = headers.get('x-response-signature') ?? '';
      const isBehindLast = this.#isEnding;
      this.#isEnding ||= headers.get('connection')?.toLowerCase() === 'close';
      first?.onEnd({ endAt: performance.now(), status, body, signature, isBehindLast, isReused });
    }
    this.#parse();
  }

  #handleClose(): void {
    const endAt = performance.now();
    const isBehindLast = this.#isEnding;
    const isReused = this.#hasAnswered;
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach(({ onContinue, onEnd }) => {
      onContinue();
      onEnd({ endAt, status: 0, body: '', signature: '', isBehindLast, isReused });
    });
  }
}
