/**
 * A request on its way through the daemon.
 */
import type { AttemptEnd, RequestHead } from '@baobabline/core';
import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';

export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** An upstream's answer; a stream only where it is too long to be held whole. */
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
  /** Same for requests of the same customer, kind, path and body. */
  readonly fingerprint: string;
  /** Whether it may still be handed on to another dispatcher. */
  readonly mayMove: boolean;
  /** Whether it may wait for a slot, or is to be refused at once where none is free. */
  readonly mayWait: boolean;
  /** Fires when the caller goes away. */
  readonly cancelled: AbortSignal;
};

export type AttemptResult = {
  readonly end: AttemptEnd;
  readonly answer?: Answer | undefined;
  /** Whether the upstream said that it is leaving. */
  readonly draining: boolean;
  /** Requests that the upstream said it has, if it did. */
  readonly reportedLoad?: number | undefined;
  /** What went wrong, for the log. */
  readonly detail?: string | undefined;
};
