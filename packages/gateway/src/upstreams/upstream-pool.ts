/**
 * Pool of this daemon's connections to one upstream. The most recently used connection is taken
 * first, so that surplus connections stay idle and are closed here before the upstream closes them.
 */
import type { HttpDialect } from '../dialect/index.js';
import type { HeldBytes } from '../held-bytes/index.js';
import type { EndHandler, ExchangeRequest, Reachability } from './types.js';
import { UpstreamConnection } from './upstream-connection.js';

export type PoolDependencies = {
  readonly address: string;
  readonly port: number;
  readonly upstreamId: string;
  readonly dialect: HttpDialect;
  /** Accounts for answers while they come in. */
  readonly heldBytes: HeldBytes;
  readonly now: () => number;
  /** Called whenever the upstream states in an answer that it leaves. */
  readonly onLeaving: () => void;
};

/** A round trip within a region takes milliseconds; TCP retransmits a lost packet after a second. */
const CONNECT_TIMEOUT_MS = 300;
/** Answers are buffered until they are complete; a larger one is invalid. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** Fraction of the upstream's keep-alive time after which an idle connection is not reused. */
const MAX_IDLE_FRACTION = 0.6;
/** Assumed where an upstream does not state its keep-alive time. */
const DEFAULT_KEEP_ALIVE_MS = 8000;
/** Idle time after which a non-repeatable request is sent on a new connection. */
const MAX_NON_REPEATABLE_IDLE_MS = 3000;

function computeMaxIdleMs(connection: UpstreamConnection, isRepeatable: boolean): number {
  const allowedMs = (connection.keepAliveMs ?? DEFAULT_KEEP_ALIVE_MS) * MAX_IDLE_FRACTION;
  return isRepeatable ? allowedMs : Math.min(allowedMs, MAX_NON_REPEATABLE_IDLE_MS);
}

/** Called with whether the upstream accepted a connection. */
export type ProbeHandler = (isReachable: boolean) => void;

export class UpstreamPool {
  readonly #dependencies: PoolDependencies;

  readonly #openConnections = new Set<UpstreamConnection>();

  /** Idle connections, the most recently used one last. */
  #idleConnections: readonly UpstreamConnection[] = [];

  #isClosing = false;

  /** Connections that are being opened to find out whether the upstream accepts any. */
  readonly #checks = new Map<UpstreamConnection, (reachability: Reachability) => void>();

  /** A connection that is being opened to check whether the upstream is reachable. */
  #probe: { readonly connection: UpstreamConnection; readonly onEnd: ProbeHandler } | undefined;

  constructor(dependencies: PoolDependencies) {
    this.#dependencies = dependencies;
  }

  get openCount(): number {
    return this.#openConnections.size;
  }

  /** Sends a request; the caller may abort it through the returned connection. */
  send(request: ExchangeRequest, isRepeatable: boolean, onEnd: EndHandler): UpstreamConnection {
    const connection = this.#takeIdle(isRepeatable) ?? this.#create();
    connection.send(request, onEnd);
    return connection;
  }

  /** Opens a connection without a request and keeps it for later use; ignored while one is opening. */
  probe(onEnd: ProbeHandler): void {
    if (this.#probe || this.#isClosing) return;
    this.#probe = { connection: this.#create(), onEnd };
  }

  /** Opens a connection and calls back with how that ended; one that opens is kept for later use. */
  checkReachable(onEnd: (reachability: Reachability) => void): void {
    if (this.#isClosing) onEnd('silent');
    else this.#checks.set(this.#create(), onEnd);
  }

  /** Whether a connection is open, idle or busy, that was so at a time of the daemon's clock. */
  hasBeenOpenSince(at: number): boolean {
    return [...this.#openConnections].some((connection) => connection.isOpenSince(at));
  }

  /** Closes all idle connections: after one has failed, the others may be broken too. */
  closeIdle(): void {
    this.#idleConnections.forEach((connection) => connection.close());
  }

  /** Closes connections that have been idle for too long. */
  runTick(): void {
    const now = this.#dependencies.now();
    const expired = this.#idleConnections.filter(
      (connection) => now - connection.idleSince > computeMaxIdleMs(connection, true),
    );
    expired.forEach((connection) => connection.close());
  }

  /** Closes idle connections and withdraws requests that are not written yet; the others run on. */
  drain(): void {
    this.closeIdle();
    this.#openConnections.forEach((connection) => connection.cancelUnsent());
  }

  /** Drains the pool, and closes each busy connection once it becomes idle. */
  close(): void {
    this.#isClosing = true;
    this.drain();
  }

  #takeIdle(isRepeatable: boolean): UpstreamConnection | undefined {
    const now = this.#dependencies.now();
    const chosen = this.#idleConnections.findLast(
      (connection) =>
        connection.isIdle &&
        now - connection.idleSince <= computeMaxIdleMs(connection, isRepeatable),
    );
    if (chosen)
      this.#idleConnections = this.#idleConnections.filter((connection) => connection !== chosen);
    return chosen;
  }

  #create(): UpstreamConnection {
    const { address, port, upstreamId, dialect, heldBytes, now, onLeaving } = this.#dependencies;
    const connection = new UpstreamConnection({
      address,
      port,
      dialect,
      now,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxAnswerBytes: MAX_ANSWER_BYTES,
      upstreamId,
      heldBytes,
      onLeaving,
      onIdle: (idle) => this.#handleIdle(idle),
      onClosed: (closed) => this.#handleClosed(closed),
    });
    this.#openConnections.add(connection);
    return connection;
  }

  #finishProbe(connection: UpstreamConnection, isReachable: boolean): void {
    const probe = this.#probe;
    if (probe?.connection !== connection) return;
    this.#probe = undefined;
    probe.onEnd(isReachable);
  }

  #finishCheck(connection: UpstreamConnection, reachability: Reachability): void {
    const onEnd = this.#checks.get(connection);
    this.#checks.delete(connection);
    onEnd?.(reachability);
  }

  #handleIdle(connection: UpstreamConnection): void {
    this.#finishProbe(connection, true);
    this.#finishCheck(connection, 'open');
    if (this.#isClosing) connection.close();
    else this.#idleConnections = [...this.#idleConnections, connection];
  }

  #handleClosed(connection: UpstreamConnection): void {
    this.#finishProbe(connection, false);
    this.#finishCheck(connection, connection.wasRefused ? 'refused' : 'silent');
    this.#openConnections.delete(connection);
    this.#idleConnections = this.#idleConnections.filter((other) => other !== connection);
  }
}
