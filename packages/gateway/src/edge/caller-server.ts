/**
 * The listener for callers' requests. It stands on Node's own HTTP server: requests are taken whole
 * with the limits of the configuration in force, and the connection is watched for a caller that
 * leaves. What is not plain HTTP, or could be read in two ways, is refused.
 */
import { createRefusal, isRepeatableKind, MAX_TIMER_MS } from '@baobabline/core';
import type { CallerLimits, Clock, RequestError, RouteTable } from '@baobabline/core';
import { dropBody } from '@baobabline/daemon';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { Socket } from 'node:net';

import { checkKey } from '../caller-keys/index.js';
import type { KeyCheck, KeyValidity } from '../caller-keys/index.js';
import type { HttpDialect } from '../dialect/index.js';
import type { HeldBytes } from '../held-bytes/index.js';
import { readBody } from '../http/index.js';
import type { BodyEnd } from '../http/index.js';
import { computeRequestFingerprint, listOnwardHeaders } from '../requests/index.js';
import type { RequestEnd, RoutedRequest, ServedRequest } from '../requests/index.js';
import { CallerConnection } from './caller-connection.js';
import { checkHead, readBodyLength } from './check-head.js';
import { countByPhase, OpenRequest } from './open-request.js';
import type { CutRequest, RequestPhase } from './open-request.js';
import type { PipelineTurn } from './pipeline.js';
import { StartupHold } from './startup-hold.js';
import { writeAnswer, writeRefusal } from './write-answer.js';

export type CallerPorts = {
  readonly clock: Clock;
  readonly dialect: HttpDialect;
  /** Accounts for the bodies of requests, and for answers that callers have not taken yet. */
  readonly heldBytes: HeldBytes;
  readonly getRoutes: () => RouteTable | undefined;
  /** Whether no newer configuration is known that this daemon cannot use. */
  readonly isConfigurationNewest: () => boolean;
  /** Whether there are routes, and keys that this daemon can vouch for where requests need them. */
  readonly canServe: () => boolean;
  /** Draws the time after which callers try again while there are no routes, in milliseconds. */
  readonly drawStartupRetryMs: () => number;
  /** Whether this daemon may rely on the keys of client accounts that it knows. */
  readonly keyValidity: KeyValidity;
  readonly chooseService: (route: RoutedRequest['route']) => string;
  readonly serve: (request: RoutedRequest, onEnd: (end: RequestEnd) => void) => ServedRequest;
  readonly onRefused: (error: RequestError, requestId: string, target: string) => void;
  /** Called for each request that ends without its answer as the listener closes. */
  readonly onCut: (cut: CutRequest) => void;
  /** Called when a caller's connection was closed since it did not read, and memory was short. */
  readonly onSlowReader?: (slow: SlowReader) => void;
  /** Called with what a request or its answer made the daemon throw. */
  readonly onException: (error: unknown) => void;
};

/** Where a caller names no time of its own. */
const DEFAULT_TIME_ALLOWED_MS = 30_000;
/** Bound of the parser; the limit of the configuration is checked after it. */
const MAX_HEADER_BYTES = 64 * 1024;
/** How often Node looks for callers that send their headers too slowly. */
const HEADER_CHECK_MS = 500;
/** Idle connections are kept a little longer than callers are told. */
const IDLE_MARGIN_MS = 1000;
/** Other daemons can take what this one refuses while it stops. */
const STOP_RETRY_SECONDS = 0.05;

/** Tells which requests are still taken while the daemon stops. */
export interface StopGate {
  /** `endAt` is the request's deadline, in milliseconds of the clock. */
  mayTake(endAt: number): boolean;
}

/** A caller that did not read its answer. */
export type SlowReader = {
  readonly id: string;
  /** Bytes of the answer that it had not taken. */
  readonly bytes: number;
  readonly ageMs: number;
};

/** One request on its connection. */
type CallerExchange = {
  readonly id: string;
  readonly arrivedAt: number;
  readonly timeAllowedMs: number;
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly connection: CallerConnection;
  readonly turn: PipelineTurn;
  readonly open: OpenRequest;
  /** Run once the answer is out, or the caller gone. */
  readonly endings: (() => void)[];
};

/** Time after which callers try again whose route this daemon may not know of. */
const OUTDATED_RETRY_SECONDS = 2;
/** When this daemon may have room again. */
const NO_ROOM_RETRY_SECONDS = 1;

function createNoRoomRefusal(): RequestError {
  return createRefusal('queueFull', { retryAfterSeconds: NO_ROOM_RETRY_SECONDS });
}

function createStopRefusal(): RequestError {
  return createRefusal('stopping', { retryAfterSeconds: STOP_RETRY_SECONDS });
}

export class CallerServer {
  readonly #ports: CallerPorts;

  readonly #server: Server;

  readonly #connections = new Map<Socket, CallerConnection>();

  readonly #exchanges = new Set<CallerExchange>();

  readonly #startupHold: StartupHold;

  /** Set while the daemon stops. */
  #stopGate: StopGate | undefined;

  constructor(ports: CallerPorts) {
    this.#ports = ports;
    this.#startupHold = new StartupHold({
      clock: ports.clock,
      canServe: () => this.#stopGate !== undefined || ports.canServe(),
    });
    this.#server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        requestTimeout: 0,
        // Checked with the head: Node would answer, and end the connection, behind the pipeline's back.
        requireHostHeader: false,
        connectionsCheckingInterval: HEADER_CHECK_MS,
        keepAlive: true,
        noDelay: true,
      },
      (request, response) =>
        this.#runGuarded(response, () => this.#handleRequest(request, response)),
    );
    this.#server.on('connection', (socket: Socket) => this.#addConnection(socket));
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.#refuseMalformed(error, socket as Socket),
    );
  }

  get openRequests(): number {
    return this.#exchanges.size;
  }

  get openConnections(): number {
    return this.#connections.size;
  }

  /** Open connections, and open requests by phase, for the log. */
  describeOpen(): Readonly<Record<RequestPhase | 'connections', number>> {
    return { connections: this.openConnections, ...countByPhase(this.#listOpen()) };
  }

  async listen(address: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, address, resolve);
    });
    const bound = this.#server.address();
    return typeof bound === 'object' && bound ? bound.port : port;
  }

  /** Brings the time limits in line with the configuration. */
  applyLimits({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.#server.headersTimeout = headerTimeoutMs;
    this.#server.keepAliveTimeout = Math.min(idleTimeoutMs + IDLE_MARGIN_MS, MAX_TIMER_MS);
  }

  /**
   * From now on every answer ends its connection, unless others have to follow it. Requests that the
   * gate does not let pass are refused as not run.
   */
  startLeaving(gate: StopGate): void {
    this.#stopGate = gate;
  }

  /** Ends all requests that have no answer yet with a truthful failure. */
  failRequests(): void {
    [...this.#exchanges]
      .filter(({ open }) => open.phase !== 'answering')
      .forEach((exchange) => {
        if (exchange.open.served) exchange.open.served.failAsStopping();
        else this.#refuse(exchange, createStopRefusal());
      });
  }

  /** Stops listening, and closes connections gracefully as soon as nothing is open on them. */
  startClosing(): void {
    // The method of the HTTP server also destroys idle connections.
    NetServer.prototype.close.call(this.#server);
    [...this.#connections.values()]
      .filter(({ pipeline }) => pipeline.isEmpty)
      .forEach((connection) => connection.close());
  }

  /** Stops listening, and cuts what is still open. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      if (this.#server.listening) NetServer.prototype.close.call(this.#server, () => resolve());
      else resolve();
    });
    const now = this.#ports.clock.now();
    this.#listOpen().forEach((open) => this.#ports.onCut(open.describe(now)));
    this.#connections.forEach((connection) => connection.abort());
    await closed;
  }

  #listOpen(): readonly OpenRequest[] {
    return [...this.#exchanges].map(({ open }) => open);
  }

  #addConnection(socket: Socket): void {
    const connection = new CallerConnection(socket, () => this.#stopGate !== undefined);
    this.#connections.set(socket, connection);
    socket.once('close', () => this.#connections.delete(socket));
  }

  #handleRequest(message: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(message.socket);
    if (!connection || connection.isClosing) {
      // It crossed the close of its connection, and counts as never read.
      message.resume();
      return;
    }
    const exchange = this.#addExchange(message, response, connection);
    const isHeld = this.#startupHold.tryHold(exchange.timeAllowedMs, () =>
      this.#runGuarded(response, () => {
        if (this.#exchanges.has(exchange)) this.#admit(exchange);
      }),
    );
    if (!isHeld) this.#admit(exchange);
  }

  #admit(exchange: CallerExchange): void {
    if (exchange.open.phase === 'answering') return;
    const refusal = this.#checkRequest(exchange);
    if (refusal) this.#refuseInTurn(exchange, refusal);
    else this.#readWhole(exchange);
  }

  #addExchange(
    message: IncomingMessage,
    response: ServerResponse,
    connection: CallerConnection,
  ): CallerExchange {
    const { requestId = 'none', timeAllowedMs = DEFAULT_TIME_ALLOWED_MS } =
      this.#ports.dialect.readCallerHead(message.headers);
    const arrivedAt = this.#ports.clock.now();
    const open = new OpenRequest(requestId, arrivedAt);
    const endings: (() => void)[] = [];
    const handleEnd = (): void => {
      endings.splice(0).forEach((end) => end());
    };
    const turn = connection.pipeline.add({ isWhole: () => message.complete, onGone: handleEnd });
    const exchange: CallerExchange = {
      id: requestId,
      arrivedAt,
      timeAllowedMs,
      message,
      response,
      connection,
      turn,
      open,
      endings,
    };
    this.#exchanges.add(exchange);
    endings.push(() => {
      this.#exchanges.delete(exchange);
      connection.pipeline.finish(turn);
    });
    // An answer that waits for its turn sees nothing of the end of its connection.
    response.once('close', handleEnd);
    return exchange;
  }

  #checkRequest({ message, arrivedAt, timeAllowedMs }: CallerExchange): RequestError | undefined {
    const routes = this.#ports.getRoutes();
    const refusal = checkHead(message, routes, this.#ports.drawStartupRetryMs);
    if (refusal) return refusal;
    const route = routes?.find(message.headers.host ?? '', message.url ?? '');
    if (!route) return this.#createNoRouteRefusal();
    if (!this.#mayTake(arrivedAt + Math.min(timeAllowedMs, route.timeoutMs))) {
      return createStopRefusal();
    }
    const keyCheck = this.#checkKey(message);
    if (keyCheck?.kind === 'refused') return keyCheck.error;
    return this.#ports.heldBytes.mayAcquire(readBodyLength(message))
      ? undefined
      : createNoRoomRefusal();
  }

  /** A route that is unknown here may be in a newer configuration that this daemon cannot use. */
  #createNoRouteRefusal(): RequestError {
    if (this.#ports.isConfigurationNewest()) return createRefusal('noRoute');
    const retryAfterSeconds = OUTDATED_RETRY_SECONDS;
    return createRefusal('configurationOutOfDate', { retryAfterSeconds });
  }

  #mayTake(endAt: number): boolean {
    return this.#stopGate === undefined || this.#stopGate.mayTake(endAt);
  }

  #readWhole(exchange: CallerExchange): void {
    const { message, open } = exchange;
    const maxBytes = this.#ports.getRoutes()?.configuration.limits.maxBodyBytes ?? 0;
    const handleBody = (body: BodyEnd): void => {
      // A connection that lingers is read on, though its requests have been given up.
      if (!this.#exchanges.has(exchange)) return;
      if (body.kind === 'cut' || open.phase === 'answering') return;
      if (body.kind !== 'whole') {
        const isTooLarge = body.kind === 'too-large';
        this.#refuse(exchange, isTooLarge ? createRefusal('bodyTooLarge') : createNoRoomRefusal());
        return;
      }
      // The configuration may have changed while the body came in.
      const keyCheck = this.#checkKey(message);
      if (keyCheck?.kind === 'refused') {
        this.#refuseInTurn(exchange, keyCheck.error);
        return;
      }
      const request = this.#buildRequest(exchange, body, keyCheck?.caller);
      if (!request) this.#refuseInTurn(exchange, this.#createNoRouteRefusal());
      else if (!this.#mayTake(request.endAt)) this.#refuseInTurn(exchange, createStopRefusal());
      else this.#takeWhole(exchange, request);
    };
    readBody(
      message,
      maxBytes,
      (body) => this.#runGuarded(exchange.response, () => handleBody(body)),
      (bytes) => this.#acquire(exchange, bytes),
    );
  }

  /** Reserves bytes for a request until it has ended; one that has ended needs none. */
  #acquire(exchange: CallerExchange, bytes: number): boolean {
    const { heldBytes } = this.#ports;
    if (!this.#exchanges.has(exchange) || !heldBytes.acquire(bytes)) return false;
    exchange.endings.push(() => heldBytes.release(bytes));
    return true;
  }

  /** Ends the connection if its request throws: what was sent of an answer cannot be taken back. */
  #runGuarded(response: ServerResponse, run: () => void): void {
    try {
      run();
    } catch (error) {
      this.#ports.onException(error);
      response.destroy();
    }
  }

  #takeWhole(exchange: CallerExchange, request: RoutedRequest): void {
    const { open, connection, turn, endings } = exchange;
    open.recordWhole();
    endings.push(() => {
      if (open.phase !== 'answering') open.served?.cancel();
    });
    const mayOverlap = isRepeatableKind(request.route.kind);
    let isLate = false;
    connection.pipeline.setReady(turn, mayOverlap, () => {
      // It was read behind an answer with which the connection would have ended.
      if (isLate && this.#stopGate) this.#refuse(exchange, createStopRefusal());
      else this.#serve(request, exchange);
    });
    isLate = true;
  }

  /** Judges a request by its key; undefined if no route matches it. */
  #checkKey({ rawHeaders, headers, url = '' }: IncomingMessage): KeyCheck | undefined {
    const { getRoutes, dialect, keyValidity } = this.#ports;
    const routes = getRoutes();
    const route = routes?.find(headers.host ?? '', url);
    if (!routes || !route) return undefined;
    return checkKey(rawHeaders, dialect.keyScheme, routes, route, keyValidity);
  }

  #buildRequest(
    { id, message, arrivedAt, timeAllowedMs }: CallerExchange,
    body: Extract<BodyEnd, { readonly kind: 'whole' }>,
    caller: RoutedRequest['caller'],
  ): RoutedRequest | undefined {
    const target = message.url ?? '';
    const routes = this.#ports.getRoutes();
    const route = routes?.find(message.headers.host ?? '', target);
    if (!routes || !route) return undefined;
    const { ownHeaders, accountHeaders } = this.#ports.dialect;
    const dropped = new Set([
      ...ownHeaders,
      ...(routes.accounts ? accountHeaders : []),
      'content-length',
    ]);
    const callerEndAt = arrivedAt + timeAllowedMs;
    const method = message.method ?? 'GET';
    const headers = listOnwardHeaders(message.rawHeaders, dropped).flat();
    const bodyDigest = body.digest;
    return {
      id,
      fingerprint: computeRequestFingerprint({
        method,
        target,
        headers,
        bodyDigest,
        accountName: caller?.account.name,
      }),
      route,
      service: this.#ports.chooseService(route),
      caller,
      priority: caller?.account.priority ?? route.priority,
      method,
      target,
      headers,
      body: body.chunks,
      bodyBytes: body.bytes,
      arrivedAt,
      callerEndAt,
      endAt: Math.min(callerEndAt, arrivedAt + route.timeoutMs),
    };
  }

  #serve(request: RoutedRequest, exchange: CallerExchange): void {
    const { response, open } = exchange;
    const handleEnd = (end: RequestEnd): void => {
      if (open.phase === 'answering') return;
      this.#runGuarded(response, () => {
        if (end.kind === 'refused') this.#refuse(exchange, end.error);
        else {
          open.recordAnswered();
          this.#closeWhereLast(exchange);
          this.#addUnread(exchange, end.answer.bodyBytes);
          writeAnswer(response, end.answer);
        }
      });
    };
    try {
      open.recordServed(this.#ports.serve(request, handleEnd));
    } catch (error) {
      this.#ports.onException(error);
      // Whether the request may have run is unknown.
      handleEnd({ kind: 'refused', error: createRefusal('internalError') });
    }
  }

  /** An answer is held until its caller has taken it. */
  #addUnread({ id, response, connection, turn, endings }: CallerExchange, bytes: number): void {
    const unread = this.#ports.heldBytes.addUnread(bytes, {
      // One that waits for an answer before it is not late by its caller's fault.
      countUnread: () => (connection.pipeline.isFirst(turn) ? response.writableLength : 0),
      onEvicted: (slow) => {
        this.#ports.onSlowReader?.({ id, ...slow });
        connection.abort();
      },
    });
    endings.push(() => unread.close());
  }

  /**
   * Refuses a request, in a planned stop only when its turn has come: the refusal may end the
   * connection, and what is read until then is refused behind it.
   */
  #refuseInTurn(exchange: CallerExchange, error: RequestError): void {
    const { message, connection, turn } = exchange;
    if (this.#stopGate === undefined || connection.pipeline.isFirst(turn)) {
      this.#refuse(exchange, error);
      return;
    }
    dropBody(message);
    connection.pipeline.setReady(turn, false, () => this.#refuse(exchange, error));
  }

  #refuse(exchange: CallerExchange, error: RequestError): void {
    const { id, message, response, open } = exchange;
    open.recordAnswered();
    this.#ports.onRefused(error, id, message.url ?? '');
    dropBody(message);
    this.#closeWhereLast(exchange);
    writeRefusal(response, error, id);
  }

  #closeWhereLast({ response, connection, turn }: CallerExchange): void {
    if (connection.pipeline.isEndedBy(turn)) response.shouldKeepAlive = false;
  }

  #refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable) return;
    const connection = this.#connections.get(socket);
    if (connection?.pipeline.isAnswering) {
      // Anything written now would be taken for the answer to a request before it.
      connection.pipeline.stop();
      return;
    }
    const name = error.code === 'HPE_HEADER_OVERFLOW' ? 'headersTooLarge' : 'malformedRequest';
    const refusal = createRefusal(
      error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'requestTooSlow' : name,
    );
    this.#ports.onRefused(refusal, 'none', '');
    socket.write(
      `HTTP/1.1 ${refusal.result.status} ${refusal.result.title}\r\n` +
        'Connection: close\r\nContent-Length: 0\r\n\r\n',
    );
    connection?.close();
  }
}
