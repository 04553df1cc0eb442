/**
 * Stand-in for an upstream: a few slots, heavy-tailed service times, a cold start, load shedding,
 * draining, deadlines and cancellation, health and load endpoints that may hide a
 * fault, and faults that can be set while it runs. It counts the runs of each operation, so that
 * tests can check that an operation ran at most once.
 */
import { createRandom } from '@baobabline/core';
import type { RandomSource } from '@baobabline/core';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { Arrival, FaultKind, RunCount, UpstreamFault, UpstreamSettings } from './types.js';

const NO_FAULT: UpstreamFault = { kind: 'none', lyingHealth: false };
const SLOW_FACTOR = 5;
const RESTART_MS = 200;
const COLD_FACTOR = 3;
const FLAP_PERIOD_MS = 4000;
const DEFAULT_MEDIAN_MS = 40;
const DEFAULT_SIGMA = 0.5;
const POISON_HEADER = 'x-poison';

type Work = {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly operation: string;
  readonly requestId: string;
  readonly body: Buffer;
};

function readHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

export class UpstreamStandIn {
  readonly settings: UpstreamSettings;

  readonly #server: Server;

  readonly #random: RandomSource;

  readonly #runs = new Map<string, number>();

  #arrivals: Arrival[] = [];

  #active = 0;

  #shed = 0;

  #cancelled = 0;

  #crashes = 0;

  #fault: UpstreamFault = NO_FAULT;

  #faultSetAt = Date.now();

  #startedAt = Date.now();

  #draining = false;

  #port = 0;

  #previousAnswer: string | undefined;

  constructor(settings: UpstreamSettings) {
    this.settings = settings;
    this.#random = createRandom(settings.seed);
    this.#server = createServer((request, response) => this.#handle(request, response));
    this.#server.keepAliveTimeout = 120_000;
  }

  /** Starts to listen; a restart keeps the port. */
  async start(): Promise<void> {
    this.#startedAt = Date.now();
    this.#draining = false;
    await new Promise<void>((resolve) => {
      this.#server.listen(this.#port, this.settings.address, resolve);
    });
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  /** Stops at once and closes every connection, as in a crash. */
  async crash(): Promise<void> {
    const closed = new Promise((resolve) => {
      this.#server.close(resolve);
    });
    this.#server.closeAllConnections();
    await closed;
  }

  /** Refuses new work from now on and says so in every answer. */
  drain(): void {
    this.#draining = true;
  }

  setFault(kind: FaultKind, lyingHealth = true): void {
    this.#fault = { kind, lyingHealth };
    this.#faultSetAt = Date.now();
  }

  get port(): number {
    return this.#port;
  }

  get shedCount(): number {
    return this.#shed;
  }

  get activeCount(): number {
    return this.#active;
  }

  /** How often a request or a fault made it crash. */
  get crashCount(): number {
    return this.#crashes;
  }

  get cancelledCount(): number {
    return this.#cancelled;
  }

  get arrivals(): readonly Arrival[] {
    return this.#arrivals;
  }

  clearArrivals(): void {
    this.#arrivals = [];
  }

  listRuns(): readonly RunCount[] {
    const upstreamId = this.settings.id;
    return [...this.#runs].map(([operation, runs]) => ({ operation, runs, upstreamId }));
  }

  countRuns(operation: string): number {
    return this.#runs.get(operation) ?? 0;
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    if (request.url === '/health') {
      this.#answerHealth(response);
      return;
    }
    if (request.url === '/load') {
      this.#answerLoad(response);
      return;
    }
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('error', () => undefined);
    request.on('end', () => this.#accept(request, response, Buffer.concat(chunks)));
  }

  #answerHealth(response: ServerResponse): void {
    const reportsFault = this.#fault.kind !== 'none' && !this.#fault.lyingHealth;
    response.writeHead(reportsFault || this.#draining ? 503 : 200).end();
  }

  #answerLoad(response: ServerResponse): void {
    const active = this.#fault.lyingHealth && this.#fault.kind !== 'none' ? 0 : this.#active;
    response
      .writeHead(200, { 'content-type': 'application/json' })
      .end(JSON.stringify({ active, slots: this.settings.slots }));
  }

  #accept(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const requestId = readHeader(request, 'x-request-id') ?? 'none';
    const operation = readHeader(request, 'idempotency-key') ?? requestId;
    this.#arrivals.push({ operation, at: Date.now() });
    if (this.#draining || this.#active >= this.settings.slots) {
      this.#refuseWithoutRunning(response);
      return;
    }
    if (readHeader(request, POISON_HEADER) !== undefined) {
      this.#crashAndRestart();
      return;
    }
    this.#run({ request, response, operation, requestId, body });
  }

  #refuseWithoutRunning(response: ServerResponse): void {
    this.#shed += 1;
    const headers = {
      'baobabline-outcome': 'not-run',
      'retry-after': '1',
      'baobabline-load': String(this.#active),
      ...(this.#draining ? { 'baobabline-draining': 'true' } : {}),
    };
    response.writeHead(503, headers).end();
  }

  #crashAndRestart(): void {
    this.#crashes += 1;
    this.crash()
      .then(() => {
        setTimeout(() => {
          this.start().catch(() => undefined);
        }, RESTART_MS);
      })
      .catch(() => undefined);
  }

  #run(work: Work): void {
    this.#active += 1;
    this.#runs.set(work.operation, (this.#runs.get(work.operation) ?? 0) + 1);
    const fault = this.#getActiveFault();
    if (fault === 'crash') {
      this.#active -= 1;
      this.#crashAndRestart();
      return;
    }
    this.#schedule(work, fault);
  }

  #schedule(work: Work, fault: FaultKind): void {
    const serviceTimeMs = fault === 'stall' ? undefined : this.#drawServiceTimeMs(work, fault);
    const finish = (): void => {
      this.#active -= 1;
      this.#answer(work, fault);
    };
    const timer = serviceTimeMs === undefined ? undefined : setTimeout(finish, serviceTimeMs);
    work.response.on('close', () => {
      if (work.response.writableEnded) return;
      if (timer) clearTimeout(timer);
      this.#active -= 1;
      this.#cancelled += 1;
    });
  }

  #getActiveFault(): FaultKind {
    if (this.#fault.kind !== 'flap') return this.#fault.kind;
    const phase = (Date.now() - this.#faultSetAt) % (2 * FLAP_PERIOD_MS);
    return phase < FLAP_PERIOD_MS ? 'slow' : 'none';
  }

  #drawServiceTimeMs(work: Work, fault: FaultKind): number {
    const kindName = readHeader(work.request, 'baobabline-kind');
    const kind = this.settings.kinds.find(({ name }) => name === kindName);
    const radius = Math.sqrt(-2 * Math.log(1 - this.#random.next()));
    const normal = radius * Math.cos(2 * Math.PI * this.#random.next());
    const baseMs =
      (kind?.medianMs ?? DEFAULT_MEDIAN_MS) * Math.exp((kind?.sigma ?? DEFAULT_SIGMA) * normal);
    const coldFactor = Date.now() - this.#startedAt < this.settings.coldMs ? COLD_FACTOR : 1;
    return baseMs * coldFactor * (fault === 'slow' ? SLOW_FACTOR : 1);
  }

  #buildAnswer({ requestId, operation, body }: Work): string {
    return JSON.stringify({
      upstream: this.settings.id,
      requestId,
      operation,
      receivedBytes: body.length,
      padding: 'x'.repeat(this.settings.answerBytes),
    });
  }

  #answer(work: Work, fault: FaultKind): void {
    const text = this.#buildAnswer(work);
    const previous = this.#previousAnswer;
    this.#previousAnswer = text;
    const { response, requestId } = work;
    if (response.destroyed) return;
    if (fault === 'errors' && this.#random.next() < 0.5) {
      response.writeHead(500, { 'x-request-id': requestId }).end('{"error":"internal"}');
      return;
    }
    if (fault === 'cut-short' || fault === 'wrong-length') {
      const length = text.length + (fault === 'wrong-length' ? 10 : 0);
      response.writeHead(200, { 'content-length': length });
      response.write(text.slice(0, text.length / 2), () => response.destroy());
      return;
    }
    if (fault === 'previous-answer' && previous !== undefined) {
      const { requestId: foreignId } = JSON.parse(previous) as { readonly requestId: string };
      response.writeHead(200, { 'x-request-id': foreignId }).end(previous);
      return;
    }
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      'x-request-id': requestId,
      'baobabline-load': String(this.#active),
      ...(this.#draining ? { 'baobabline-draining': 'true' } : {}),
    };
    response.writeHead(200, headers).end(text);
    if (fault === 'twice') {
      response.socket?.write(`HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`);
    }
  }
}
