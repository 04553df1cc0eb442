/**
 * One TCP connection to an upstream, which carries one request at a time. It records whether any
 * byte of a request was written, skips late answers to earlier requests, and is closed after any
 * unexpected input.
 */
import { connect, Socket } from 'node:net';

import type { HeaderMap, HttpDialect } from '../dialect/index.js';
import { BodyBuffer } from '../held-bytes/index.js';
import type { HeldAnswer, HeldBytes } from '../held-bytes/index.js';
import { BODILESS_STATUSES, ResponseParser } from './response-parser.js';
import type { ResponseHead } from './response-parser.js';
import type { EndHandler, ExchangeEnd, ExchangeRequest } from './types.js';

export type ConnectionDependencies = {
  readonly address: string;
  readonly port: number;
  readonly connectTimeoutMs: number;
  /** Answers with a larger body are invalid. */
  readonly maxAnswerBytes: number;
  readonly upstreamId: string;
  /** Accounts for answers while they come in. */
  readonly heldBytes: HeldBytes;
  readonly dialect: HttpDialect;
  readonly now: () => number;
  /** Called when the connection is ready for another request. */
  readonly onIdle: (connection: UpstreamConnection) => void;
  readonly onClosed: (connection: UpstreamConnection) => void;
  /** Called for each head in which the upstream states that it leaves, whatever becomes of the rest. */
  readonly onLeaving: () => void;
};

/**
 * Limit of the bytes that an upstream may send for one request in addition to the body of the answer:
 * heads, framing, trailers, and late answers to earlier requests.
 */
const MAX_OVERHEAD_BYTES = 1024 * 1024;
/** An empty line, which a server ignores once it has ended its side of the connection. */
const RESET_PROBE = '\r\n';

type Exchange = {
  readonly request: ExchangeRequest;
  readonly onEnd: EndHandler;
  readonly held: HeldAnswer;
};

type IncomingAnswer = {
  readonly head: ResponseHead;
  readonly headerMap: HeaderMap;
  /** Whether it belongs to the request in progress. */
  readonly isForCurrentRequest: boolean;
  readonly isInterim: boolean;
  readonly body: BodyBuffer;
};

function buildHeaderMap(headers: readonly string[]): HeaderMap {
  const valuesByName: Record<string, string> = {};
  headers.forEach((name, index) => {
    if (index % 2 === 1) return;
    const key = name.toLowerCase();
    const value = headers[index + 1] ?? '';
    valuesByName[key] = key in valuesByName ? `${valuesByName[key]}, ${value}` : value;
  });
  return valuesByName;
}

/**
 * All connections read into this buffer, one after the other: what has to be kept is copied. A buffer
 * for each read would take as much memory again until it is collected.
 */
const READ_BUFFER = Buffer.allocUnsafeSlow(64 * 1024);

/** Connects; `connect` throws at once for some addresses, which then fails like any connection. */
function createSocket(
  { address, port }: Pick<ConnectionDependencies, 'address' | 'port'>,
  onData: (chunk: Buffer) => void,
): Socket {
  const handleRead = (bytes: number): boolean => {
    onData(READ_BUFFER.subarray(0, bytes));
    return true;
  };
  try {
    return connect({
      host: address,
      port,
      noDelay: true,
      allowHalfOpen: true,
      onread: { buffer: READ_BUFFER, callback: handleRead },
    });
  } catch (error) {
    return new Socket().destroy(error as Error);
  }
}

export class UpstreamConnection {
  readonly #dependencies: ConnectionDependencies;

  readonly #socket: Socket;

  readonly #parser: ResponseParser;

  readonly #connectTimer: NodeJS.Timeout;

  #isConnected = false;

  #connectedAt = Number.POSITIVE_INFINITY;

  #isClosed = false;

  #isRequestWritten = false;

  #exchange: Exchange | undefined;

  #incoming: IncomingAnswer | undefined;

  #bodyBytes = 0;

  /** Bytes received since `send` was called, heads and framing included. */
  #receivedBytes = 0;

  /** The part of the bytes outside the body that `heldBytes` knows of. */
  #heldOverheadBytes = 0;

  /** Whether an earlier request was answered, so that a duplicate of that answer may still arrive. */
  #hasAnsweredBefore = false;

  #hadError = false;

  #wasRefused = false;

  #idleSince: number;

  #keepAliveMs: number | undefined;

  constructor(dependencies: ConnectionDependencies) {
    this.#dependencies = dependencies;
    this.#idleSince = dependencies.now();
    this.#parser = new ResponseParser({
      onHead: (head) => this.#handleHead(head),
      onBody: (chunk) => this.#handleBody(chunk),
      onEnd: () => this.#handleMessageEnd(),
    });
    this.#socket = createSocket(dependencies, (chunk) => this.#handleData(chunk));
    this.#connectTimer = setTimeout(
      () => this.#closeWith({ kind: 'unsent', reason: 'connect timeout' }),
      dependencies.connectTimeoutMs,
    );
    this.#registerListeners();
  }

  get isIdle(): boolean {
    return this.#isConnected && !this.#isClosed && this.#exchange === undefined;
  }

  /** Whether it is open, and was so at a time in milliseconds of the daemon's clock. */
  isOpenSince(at: number): boolean {
    return this.#isConnected && !this.#isClosed && this.#connectedAt <= at;
  }

  /** Whether the connection was refused when it was opened. */
  get wasRefused(): boolean {
    return this.#wasRefused;
  }

  /** When the last answer was complete, or the connection was created. */
  get idleSince(): number {
    return this.#idleSince;
  }

  /** The keep-alive time that the upstream stated in its last answer, in milliseconds. */
  get keepAliveMs(): number | undefined {
    return this.#keepAliveMs;
  }

  /** Sends a request as soon as the connection is established. */
  send(request: ExchangeRequest, onEnd: EndHandler): void {
    const { heldBytes, upstreamId } = this.#dependencies;
    const held = heldBytes.createAnswer(
      upstreamId,
      () => this.#closeWith({ kind: 'invalid', reason: 'no room for more of the answer' }),
      request.expectedBytes,
    );
    this.#exchange = { request, onEnd, held };
    this.#isRequestWritten = false;
    this.#receivedBytes = 0;
    this.#heldOverheadBytes = 0;
    this.#bodyBytes = 0;
    this.#parser.expectAnswer();
    if (this.#isConnected) this.#write(request);
  }

  /** Closes the connection without calling `onEnd` of the request. */
  abort(): void {
    this.#takeExchange();
    this.close();
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearTimeout(this.#connectTimer);
    this.#socket.destroy();
    this.#dependencies.onClosed(this);
  }

  /** Withdraws a request of which no byte has been written; one that was written goes on. */
  cancelUnsent(): void {
    if (!this.#exchange || this.#isRequestWritten) return;
    this.#closeWith({ kind: 'withdrawn', reason: 'the upstream leaves' });
  }

  #registerListeners(): void {
    const socket = this.#socket;
    socket.once('connect', () => this.#handleConnect());
    socket.once('error', (error: NodeJS.ErrnoException) => {
      this.#hadError = true;
      this.#wasRefused = !this.#isConnected && error.code === 'ECONNREFUSED';
      this.#handleDisconnect(error.message);
    });
    socket.once('end', () => this.#handleSocketEnd());
    socket.once('close', () => this.#handleDisconnect('connection closed'));
  }

  #handleConnect(): void {
    clearTimeout(this.#connectTimer);
    this.#isConnected = true;
    this.#connectedAt = this.#dependencies.now();
    if (this.#exchange) this.#write(this.#exchange.request);
    else this.#dependencies.onIdle(this);
  }

  #write({ head, body }: ExchangeRequest): void {
    this.#isRequestWritten = true;
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
    this.#recordOverhead();
    if (fault) this.#closeWith({ kind: 'invalid', reason: fault.message });
    else if (this.#parser.hasExtraBytes) this.close();
    else if (this.#countOverheadBytes() > MAX_OVERHEAD_BYTES) {
      this.#closeWith({ kind: 'invalid', reason: 'too many bytes outside the body of the answer' });
    }
  }

  #recordOverhead(): void {
    const bytes = this.#countOverheadBytes();
    const added = Math.max(0, bytes - this.#heldOverheadBytes);
    this.#heldOverheadBytes += added;
    if (added > 0) this.#exchange?.held.add(added);
  }

  #countOverheadBytes(): number {
    return this.#receivedBytes - (this.#incoming?.isForCurrentRequest ? this.#bodyBytes : 0);
  }

  #handleHead(head: ResponseHead): boolean {
    const isInterim = head.status < 200;
    const headerMap = buildHeaderMap(head.headers);
    const { dialect, onLeaving } = this.#dependencies;
    const { requestId, isLeaving } = dialect.readAnswerHead(head.status, headerMap);
    if (isLeaving) onLeaving();
    const hasNoRequestId = requestId === undefined;
    const isOurs = hasNoRequestId || requestId === this.#exchange?.request.requestId;
    const { held } = this.#exchange ?? {};
    const body = new BodyBuffer((bytes) => held?.add(bytes));
    this.#incoming = { head, headerMap, isForCurrentRequest: isOurs, isInterim, body };
    if (hasNoRequestId && !isInterim && this.#hasAnsweredBefore) {
      this.#closeWith({
        kind: 'invalid',
        reason: 'answer without a request id may belong to an earlier request',
      });
    }
    this.#bodyBytes = 0;
    const statedBytes = Number(headerMap['content-length'] ?? 0);
    const isBodiless = isInterim || this.#exchange?.request.method === 'HEAD';
    const hasBody = !isBodiless && !BODILESS_STATUSES.includes(head.status);
    if (hasBody && statedBytes > this.#dependencies.maxAnswerBytes) this.#refuseSize();
    return isBodiless;
  }

  #handleBody(chunk: Buffer): void {
    this.#bodyBytes += chunk.length;
    if (this.#bodyBytes > this.#dependencies.maxAnswerBytes) this.#refuseSize();
    else if (this.#exchange && this.#incoming?.isForCurrentRequest) {
      this.#incoming.body.add(chunk);
    }
  }

  #refuseSize(): void {
    this.#closeWith({ kind: 'invalid', reason: 'answer body exceeds the size limit' });
  }

  /** Returns whether the answer to the request is still expected. */
  #handleMessageEnd(): boolean {
    const incoming = this.#incoming;
    const exchange = this.#exchange;
    this.#incoming = undefined;
    if (!incoming || !exchange) return false;
    if (incoming.isInterim || !incoming.isForCurrentRequest) return true;
    this.#finishExchange(exchange, incoming);
    return false;
  }

  #finishExchange({ onEnd }: Exchange, { head, headerMap, body }: IncomingAnswer): void {
    const answerHead = this.#dependencies.dialect.readAnswerHead(head.status, headerMap);
    this.#takeExchange();
    this.#hasAnsweredBefore = true;
    this.#idleSince = this.#dependencies.now();
    this.#keepAliveMs = answerHead.keepAliveMs;
    const isClosing = String(headerMap.connection ?? '')
      .toLowerCase()
      .includes('close');
    const answer = {
      status: head.status,
      statusText: head.statusText,
      headers: head.headers,
      body: body.finish(),
      bodyBytes: this.#bodyBytes,
      head: answerHead,
    };
    const isReusable = head.isKeptAlive && this.#socket.writableLength === 0;
    if (!isReusable) this.close();
    onEnd({ kind: 'answered', answer, isClosing });
    // Deferred until the parser has returned: if bytes follow the answer, the connection is closed first.
    if (isReusable) setImmediate(() => this.#notifyIdle());
  }

  #notifyIdle(): void {
    if (this.isIdle) this.#dependencies.onIdle(this);
  }

  #handleSocketEnd(): void {
    if (this.#hadError || !this.#incoming) {
      this.#handleDisconnect('connection ended');
      return;
    }
    // An upstream that ends before it has taken the whole request resets the connection later, and
    // what it sent without a length may be a part of its answer.
    if (this.#socket.writableLength > 0) {
      this.#handleDisconnect('connection ended while the request was being sent');
      return;
    }
    // Node.js reports a reset that arrives together with data as an end. Only a write reveals it.
    this.#socket.write(RESET_PROBE, (error) => {
      if (error) this.#handleDisconnect('connection reset');
      else this.#finishAtSocketEnd();
    });
  }

  #finishAtSocketEnd(): void {
    const fault = this.#parser.finish();
    this.#handleDisconnect(fault?.message ?? 'connection ended');
  }

  #handleDisconnect(reason: string): void {
    if (!this.#isRequestWritten) this.#closeWith({ kind: 'unsent', reason });
    else if (this.#incoming) this.#closeWith({ kind: 'invalid', reason, isDisconnect: true });
    else this.#closeWith({ kind: 'lost', reason });
  }

  /** Ends the exchange, whose answer is no longer accounted for. */
  #takeExchange(): Exchange | undefined {
    const exchange = this.#exchange;
    this.#exchange = undefined;
    exchange?.held.close();
    return exchange;
  }

  #closeWith(end: ExchangeEnd): void {
    const exchange = this.#takeExchange();
    this.close();
    exchange?.onEnd(end);
  }
}
