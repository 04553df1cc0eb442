/**
 * Types of an admitted request, its attempts and its answer.
 */
import type { AttemptEnd, RequestHead } from '@baobabline/core';
import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';

export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** An upstream's answer. The body is a stream only if it is too long to be buffered. */
export type Answer = {
  readonly status: number;
  readonly headers: AnswerHeaders;
  readonly body: Buffer | Readable;
};

/** An admitted request. Times are monotonic milliseconds. */
export type Job = {
  readonly head: RequestHead;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly deadline: number;
  readonly repeatable: boolean;
  readonly weight: number;
  readonly share: number;
  /** Equal for requests of the same customer, kind, method, service, path and body. */
  readonly fingerprint: string;
  /** Whether it may still be forwarded to another dispatcher. */
  readonly mayMove: boolean;
  /** Whether it may queue for a slot; otherwise it is refused at once if none is free. */
  readonly mayWait: boolean;
  /** Aborted when the caller disconnects. */
  readonly cancelled: AbortSignal;
};

export type AttemptResult = {
  readonly end: AttemptEnd;
  readonly answer?: Answer | undefined;
  /** Whether the upstream reported that it is draining. */
  readonly draining: boolean;
  /** Number of requests in progress, if the upstream reported it. */
  readonly reportedLoad?: number | undefined;
  /** What went wrong, for the log. */
  readonly detail?: string | undefined;
};
