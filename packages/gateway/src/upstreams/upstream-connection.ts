/**
 * One TCP connection to an upstream, which carries one request at a time. It knows exactly whether
 * a byte of a request was written, skips answers to earlier requests that come late, and is never
 * used again after anything unexpected.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';

import type { HeaderMap, HttpDialect } from '../dialect/index.js';
import { ResponseParser } from './response-parser.js';
import type { ResponseHead } from './response-parser.js';
import type { EndHandler, ExchangeEnd, ExchangeRequest } from './types.js';

export type ConnectionPorts = {
  readonly address: string;
  readonly port: number;
  readonly connectTimeoutMs: number;
  /** Answers larger than this are given up. */
  readonly maxAnswerBytes: number;
  readonly dialect: HttpDialect;
  readonly now: () => number;
  /** Called when the connection can carry another request. */
  readonly onIdle: (connection: UpstreamConnection) => void;
  readonly onClosed: (connection: UpstreamConnection) => void;
};

/**
 * Bytes beside the body of the answer that an upstream may send for one request: heads, framing,
 * trailers, and late answers to earlier requests.
 */
const MAX_OVERHEAD_BYTES = 1024 * 1024;
/** An empty line, which means nothing to a server that has ended its side. */
const PROBE = '\r\n';

type Exchange = {
  readonly request: ExchangeRequest;
  readonly onEnd: EndHandler;
};

type Collected = {
  readonly head: ResponseHead;
  readonly headerMap: HeaderMap;
  /** Whether it answers the request that is under way. */
  readonly isOurs: boolean;
  readonly isInterim: boolean;
};

function buildHeaderMap(headers: readonly string[]): HeaderMap {
  const map: Record<string, string> = {};
  headers.forEach((name, index) => {
    if (index % 2 === 1) return;
    const key = name.toLowerCase();
    const value = headers[index + 1] ?? '';
    map[key] = key in map ? `${map[key]}, ${value}` : value;
  });
  return map;
}

export class UpstreamConnection {
  readonly #ports: ConnectionPorts;

  readonly #socket: Socket;

  readonly #parser: ResponseParser;

  readonly #connectTimer: NodeJS.Timeout;

  #isConnected = false;

  #isClosed = false;

  #wasWritten = false;

  #exchange: Exchange | undefined;

  #collected: Collected | undefined;

  #chunks: Buffer[] = [];

  #bodyBytes = 0;

  /** Bytes received since the request was sent. */
  #receivedBytes = 0;

  /** Whether an answer was taken before, so that a second copy of it may come. */
  #wasUsed = false;

  #hadError = false;

  #idleSince: number;

  #keepAliveMs: number | undefined;

  constructor(ports: ConnectionPorts) {
    this.#ports = ports;
    this.#idleSince = ports.now();
    this.#parser = new ResponseParser({
      onHead: (head) => this.#handleHead(head),
      onBody: (chunk) => this.#handleBody(chunk),
      onEnd: () => this.#handleMessageEnd(),
    });
    this.#socket = connect({
      host: ports.address,
      port: ports.port,
      noDelay: true,
      allowHalfOpen: true,
    });
    this.#connectTimer = setTimeout(
      () => this.#closeWith({ kind: 'unsent', reason: 'no connection in time' }),
      ports.connectTimeoutMs,
    );
    this.#listen();
  }

  get isIdle(): boolean {
    return this.#isConnected && !this.#isClosed && this.#exchange === undefined;
  }

  /** When the last answer came, or the connection was opened. */
  get idleSince(): number {
    return this.#idleSince;
  }

  /** How long the upstream says that it keeps an idle connection. */
  get keepAliveMs(): number | undefined {
    return this.#keepAliveMs;
  }

  /** Sends a request as soon as the connection stands. */
  send(request: ExchangeRequest, onEnd: EndHandler): void {
    this.#exchange = { request, onEnd };
    this.#wasWritten = false;
    this.#receivedBytes = 0;
    this.#bodyBytes = 0;
    this.#parser.expectAnswer();
    if (this.#isConnected) this.#write(request);
  }

  /** Gives the request up without reporting an end; the connection is closed. */
  abort(): void {
    this.#exchange = undefined;
    this.close();
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearTimeout(this.#connectTimer);
    this.#socket.destroy();
    this.#ports.onClosed(this);
  }

  #listen(): void {
    const socket = this.#socket;
    socket.once('connect', () => this.#handleConnect());
    socket.on('data', (chunk: Buffer) => this.#handleData(chunk));
    socket.once('error', (error: Error) => {
      this.#hadError = true;
      this.#handleLoss(error.message);
    });
    socket.once('end', () => this.#handleFinish());
    socket.once('close', () => this.#handleLoss('connection closed'));
  }

  #handleConnect(): void {
    clearTimeout(this.#connectTimer);
    this.#isConnected = true;
    if (this.#exchange) this.#write(this.#exchange.request);
    else this.#ports.onIdle(this);
  }

  #write({ head, body }: ExchangeRequest): void {
    this.#wasWritten = true;
    this.#socket.cork();
    this.#socket.write(head, 'latin1');
    body.forEach((chunk) => this.#socket.write(chunk));
    this.#socket.uncork();
  }

  #handleData(chunk: Buffer): void {
    if (!this.#exchange) {
      this.close();
      return;
    }
    this.#receivedBytes += chunk.length;
    const fault = this.#parser.parse(chunk);
    if (fault) this.#closeWith({ kind: 'invalid', reason: fault.message });
    else if (this.#parser.hasExtraBytes) this.close();
    else if (this.#countOverhead() > MAX_OVERHEAD_BYTES) {
      this.#closeWith({ kind: 'invalid', reason: 'bytes without end that are no answer' });
    }
  }

  #countOverhead(): number {
    return this.#receivedBytes - (this.#collected?.isOurs ? this.#bodyBytes : 0);
  }

  #handleHead(head: ResponseHead): boolean {
    const isInterim = head.status < 200;
    const headerMap = buildHeaderMap(head.headers);
    const { requestId } = this.#ports.dialect.readAnswerHead(head.status, headerMap);
    const isUnnamed = requestId === undefined;
    const isOurs = isUnnamed || requestId === this.#exchange?.request.requestId;
    this.#collected = { head, headerMap, isOurs, isInterim };
    if (isUnnamed && !isInterim && this.#wasUsed) {
      this.#closeWith({ kind: 'invalid', reason: 'the answer may be one to an earlier request' });
    }
    this.#chunks = [];
    this.#bodyBytes = 0;
    return isInterim || this.#exchange?.request.method === 'HEAD';
  }

  #handleBody(chunk: Buffer): void {
    this.#bodyBytes += chunk.length;
    if (this.#bodyBytes > this.#ports.maxAnswerBytes) {
      this.#closeWith({ kind: 'invalid', reason: 'the answer is too large' });
      return;
    }
    if (this.#collected?.isOurs) this.#chunks.push(chunk);
  }

  /** Returns whether the answer to the request is still to come. */
  #handleMessageEnd(): boolean {
    const collected = this.#collected;
    const exchange = this.#exchange;
    this.#collected = undefined;
    if (!collected || !exchange) return false;
    if (collected.isInterim || !collected.isOurs) return true;
    this.#finish(exchange, collected);
    return false;
  }

  #finish({ onEnd }: Exchange, { head, headerMap }: Collected): void {
    const answerHead = this.#ports.dialect.readAnswerHead(head.status, headerMap);
    this.#exchange = undefined;
    this.#wasUsed = true;
    this.#idleSince = this.#ports.now();
    this.#keepAliveMs = answerHead.keepAliveMs;
    const isLeaving = String(headerMap.connection ?? '')
      .toLowerCase()
      .includes('close');
    const answer = {
      status: head.status,
      statusText: head.statusText,
      headers: head.headers,
      body: this.#chunks,
      bodyBytes: this.#bodyBytes,
      head: answerHead,
    };
    const isReusable = head.isKeptAlive && this.#socket.writableLength === 0;
    if (!isReusable) this.close();
    onEnd({ kind: 'answered', answer, isLeaving });
    // Bytes after the answer are seen once the parser returns, before the next request is sent.
    if (isReusable) setImmediate(() => this.#offerIdle());
  }

  #offerIdle(): void {
    if (this.isIdle) this.#ports.onIdle(this);
  }

  #handleFinish(): void {
    if (this.#hadError || !this.#collected) {
      this.#handleLoss('connection ended');
      return;
    }
    // Node tells a reset that arrives together with data as an end. Only a write shows it.
    this.#socket.write(PROBE, (error) => {
      if (error) this.#handleLoss('connection reset');
      else this.#finishUnframed();
    });
  }

  #finishUnframed(): void {
    const fault = this.#parser.finish();
    this.#handleLoss(fault?.message ?? 'connection ended');
  }

  #handleLoss(reason: string): void {
    if (!this.#wasWritten) this.#closeWith({ kind: 'unsent', reason });
    else if (this.#collected) this.#closeWith({ kind: 'invalid', reason });
    else this.#closeWith({ kind: 'lost', reason });
  }

  #closeWith(end: ExchangeEnd): void {
    const exchange = this.#exchange;
    this.#exchange = undefined;
    this.close();
    exchange?.onEnd(end);
  }
}
