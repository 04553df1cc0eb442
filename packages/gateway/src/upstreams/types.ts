/**
 * One request to an upstream, its answer, and the ways in which the exchange can end.
 */
import type { AnswerHead } from '../dialect/index.js';

export type ExchangeRequest = {
  readonly requestId: string;
  readonly method: string;
  /** Request line and headers, terminated by an empty line. */
  readonly head: string;
  readonly body: readonly Buffer[];
  /** Bytes to reserve for the answer; none if absent. */
  readonly expectedBytes?: number;
};

export type UpstreamAnswer = {
  readonly status: number;
  readonly statusText: string;
  /** Names and values alternate, in the order received. */
  readonly headers: readonly string[];
  readonly body: readonly Buffer[];
  readonly bodyBytes: number;
  readonly head: AnswerHead;
};

export type ExchangeEnd =
  | {
      readonly kind: 'answered';
      readonly answer: UpstreamAnswer;
      /** Whether the upstream closes the connection after the answer. */
      readonly isClosing: boolean;
    }
  /** No byte of the request was written, so the upstream cannot have run it. */
  | { readonly kind: 'unsent'; readonly reason: string }
  /** No byte was written either, since the upstream leaves: nothing has failed. */
  | { readonly kind: 'withdrawn'; readonly reason: string }
  /** The connection ended after the request was written and before an answer began. */
  | { readonly kind: 'lost'; readonly reason: string }
  /** The answer was malformed, truncated or too large. */
  | {
      readonly kind: 'invalid';
      readonly reason: string;
      /** Whether the connection ended before the answer did. */
      readonly isDisconnect?: boolean;
    };

/**
 * Whether an upstream accepts a connection: `open`, `refused` by its VM, or `silent`, which also
 * stands for other errors.
 */
export type Reachability = 'open' | 'refused' | 'silent';

export type EndHandler = (end: ExchangeEnd) => void;
