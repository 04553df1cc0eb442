/**
 * One attempt to send a request over a connection and receive its answer. Every event goes through
 * the state machine in the core package, which alone decides which outcome may be reported. The
 * answer is buffered until it is complete, or streamed if it exceeds the buffer limit.
 */
import { computeNextState, isEnded, REQUEST_HEADERS } from '@baobabline/core';
import type { AttemptEnd, AttemptEvent, AttemptState } from '@baobabline/core';
import { PassThrough } from 'node:stream';
import type { Dispatcher } from 'undici';

import { buildForwardedHeaders } from './headers.js';
import type { AnswerHeaders, AttemptResult, Job } from './types.js';

export const OUTCOME_HEADER = 'baobabline-outcome';
export const LOAD_HEADER = 'baobabline-load';
export const DRAINING_HEADER = 'baobabline-draining';

export type AttemptTarget = {
  readonly dispatcher: Dispatcher;
  readonly origin: string;
  readonly path: string;
  /** Answers up to this size are buffered until complete; longer ones are streamed. */
  readonly maxHeldBytes: number;
};

type AbortEvent = Extract<AttemptEvent, 'deadline-reached' | 'caller-gone'>;

export class Attempt implements Dispatcher.DispatchHandler {
  /** Resolves when the outcome is known. */
  readonly done: Promise<AttemptResult>;

  /** Resolves when the connection is free again, with whether it may be reused. */
  readonly released: Promise<boolean>;

  readonly #job: Job;

  readonly #target: AttemptTarget;

  #state: AttemptState = 'unsent';

  #controller: Dispatcher.DispatchController | undefined;

  #status = 0;

  #headers: AnswerHeaders = {};

  #chunks: readonly Buffer[] = [];

  #heldBytes = 0;

  #stream: PassThrough | undefined;

  #resolveDone: (result: AttemptResult) => void = () => undefined;

  #resolveReleased: (reusable: boolean) => void = () => undefined;

  constructor(job: Job, target: AttemptTarget) {
    this.#job = job;
    this.#target = target;
    this.done = new Promise((resolve) => {
      this.#resolveDone = resolve;
    });
    this.released = new Promise((resolve) => {
      this.#resolveReleased = resolve;
    });
  }

  start(timeLeftMs: number): void {
    const { head, body } = this.#job;
    this.#target.dispatcher.dispatch(
      {
        origin: this.#target.origin,
        path: this.#target.path,
        method: head.method,
        headers: buildForwardedHeaders(this.#job, timeLeftMs),
        body: body.length > 0 ? body : null,
        idempotent: false,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      this,
    );
  }

  /** Aborts the attempt and closes its connection, which is never reused. */
  abort(event: AbortEvent): void {
    this.#finish(event);
    this.#controller?.abort(new Error(event));
    this.#stream?.destroy(new Error(event));
    this.#resolveReleased(false);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (isEnded(this.#state)) {
      controller.abort(new Error('given up'));
      return;
    }
    this.#state = computeNextState(this.#state, 'write-started');
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: AnswerHeaders,
  ): void {
    if (status < 200) return;
    this.#status = status;
    this.#headers = headers;
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#stream) {
      if (!this.#stream.write(chunk)) this.#waitForDrain(controller, this.#stream);
      return;
    }
    this.#chunks = [...this.#chunks, chunk];
    this.#heldBytes += chunk.length;
    if (this.#heldBytes > this.#target.maxHeldBytes) this.#startStream();
  }

  onResponseEnd(): void {
    if (this.#stream) {
      this.#stream.end();
      this.#resolveReleased(true);
      return;
    }
    const event = this.#computeAnswerEvent();
    this.#finish(event);
    this.#resolveReleased(event !== 'answer-invalid');
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#stream?.destroy(error);
    this.#finish(this.#status > 0 ? 'answer-invalid' : 'connection-lost', error.message);
    this.#resolveReleased(false);
  }

  #waitForDrain(controller: Dispatcher.DispatchController, stream: PassThrough): void {
    controller.pause();
    stream.once('drain', () => controller.resume());
  }

  #startStream(): void {
    if (this.#hasOtherRequestId()) {
      this.#finish('answer-invalid', 'the answer names another request');
      this.#controller?.abort(new Error('foreign answer'));
      return;
    }
    const stream = new PassThrough();
    this.#stream = stream;
    this.#chunks.forEach((chunk) => stream.write(chunk));
    this.#finish('answer-whole');
  }

  #hasOtherRequestId(): boolean {
    const answered = this.#headers[REQUEST_HEADERS.requestId];
    return answered !== undefined && answered !== this.#job.head.requestId;
  }

  #computeAnswerEvent(): AttemptEvent {
    if (this.#hasOtherRequestId()) return 'answer-invalid';
    return this.#headers[OUTCOME_HEADER] === 'not-run' ? 'refused-unrun' : 'answer-whole';
  }

  #finish(event: AttemptEvent, detail?: string): void {
    if (isEnded(this.#state)) return;
    this.#state = computeNextState(this.#state, event);
    this.#resolveDone(this.#buildResult(this.#state as AttemptEnd, detail));
  }

  #readLoad(): number | undefined {
    const value = this.#headers[LOAD_HEADER];
    return value === undefined ? undefined : Number(value);
  }

  #buildResult(end: AttemptEnd, detail: string | undefined): AttemptResult {
    const draining = this.#headers[DRAINING_HEADER] === 'true';
    const reportedLoad = this.#readLoad();
    if (end.kind === 'failed') return { end, draining, reportedLoad, detail };
    const body = this.#stream ?? Buffer.concat(this.#chunks);
    return {
      end,
      draining,
      reportedLoad,
      answer: { status: this.#status, headers: this.#headers, body },
    };
  }
}
