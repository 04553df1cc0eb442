/**
 * One exchange with an upstream, and how it may end.
 */
import type { AnswerHead } from '../dialect/index.js';

export type ExchangeRequest = {
  readonly requestId: string;
  readonly method: string;
  /** Request line and headers, ended by an empty line. */
  readonly head: string;
  readonly body: readonly Buffer[];
};

export type UpstreamAnswer = {
  readonly status: number;
  readonly statusText: string;
  /** Names and values in turn, as they came. */
  readonly headers: readonly string[];
  readonly body: readonly Buffer[];
  readonly bodyBytes: number;
  readonly head: AnswerHead;
};

export type ExchangeEnd =
  | { readonly kind: 'answered'; readonly answer: UpstreamAnswer; readonly isLeaving: boolean }
  /** No byte of the request was written: it cannot have run. */
  | { readonly kind: 'unsent'; readonly reason: string }
  /** The connection ended before an answer began. */
  | { readonly kind: 'lost'; readonly reason: string }
  /** What came is not a whole answer. */
  | { readonly kind: 'invalid'; readonly reason: string };

export type EndHandler = (end: ExchangeEnd) => void;
