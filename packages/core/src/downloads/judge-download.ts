/**
 * Decides whether a download is sent to an upstream: only if its answer can be held and delivered.
 *
 * Load pattern: a VM of 7 Mbit/s, answers of 90 KB on average, and for 6 s 2.5 times the usual
 * downloads. More than the link can pass on is late for everybody, has cost an upstream's slot, and is
 * asked for again. A download whose answer would come after its caller has left is refused before it is
 * sent, with the time after which one of the same kind would be in time.
 */
import type { AnswerSize } from './answer-sizes.js';

export type DownloadState = {
  readonly size: AnswerSize;
  /** Rate of the link. */
  readonly bytesPerMs: number;
  /** Bytes that were written and that the link has not passed on. */
  readonly writtenBytes: number;
  /** Expected bytes of answers that are on their way to this daemon. */
  readonly expectedBytes: number;
  /** Usual time until the answer has come whole, in milliseconds. */
  readonly attemptMs: number;
  /** Time until the caller leaves, in milliseconds. */
  readonly timeLeftMs: number;
  /** Bytes that are missing to hold the answer; 0 if there is room. */
  readonly missingBytes: number;
};

export type DownloadVerdict =
  | { readonly kind: 'send'; readonly deliveryMs: number }
  | {
      readonly kind: 'refuse';
      readonly cause: 'link' | 'memory';
      readonly deliveryMs: number;
      /** Time after which a download with as much time is likely to be sent. */
      readonly retryAfterMs: number;
    };

/** Connections share the link, so that those that come later delay an answer too. */
const USABLE_TIME_SHARE = 2 / 3;
const MIN_RETRY_AFTER_MS = 50;
/** By then answers that callers do not read have been closed where memory is short. */
const MAX_MEMORY_WAIT_MS = 2000;

/**
 * Computes when the answer would have been delivered, in milliseconds from now. It comes in behind those
 * that are on their way, and leaves behind what the link has not passed on by then.
 */
export function computeDeliveryMs({
  size: { highBytes },
  bytesPerMs,
  writtenBytes,
  expectedBytes,
  attemptMs,
}: Omit<DownloadState, 'timeLeftMs' | 'missingBytes'>): number {
  const wholeMs = Math.max(attemptMs, (expectedBytes + highBytes) / bytesPerMs);
  const bytesAhead = Math.max(0, writtenBytes + expectedBytes - wholeMs * bytesPerMs);
  return wholeMs + (bytesAhead + highBytes) / bytesPerMs;
}

export function judgeDownload(state: DownloadState): DownloadVerdict {
  const { missingBytes, bytesPerMs, size, writtenBytes, expectedBytes } = state;
  const timeLeftMs = state.timeLeftMs * USABLE_TIME_SHARE;
  const deliveryMs = computeDeliveryMs(state);
  // Sent although it may come late: without an answer now and then its size would never be learned anew.
  const isLinkFree = writtenBytes + expectedBytes < size.meanBytes;
  if (deliveryMs > timeLeftMs && !isLinkFree) {
    // Others come in the meantime: without the time of one answer more, half found no room again.
    const answerMs = size.highBytes / bytesPerMs;
    const retryAfterMs = deliveryMs - timeLeftMs + answerMs;
    return { kind: 'refuse', cause: 'link', deliveryMs, retryAfterMs };
  }
  if (missingBytes > 0) {
    const passedMs = Math.min(missingBytes / bytesPerMs, MAX_MEMORY_WAIT_MS);
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, passedMs);
    return { kind: 'refuse', cause: 'memory', deliveryMs, retryAfterMs };
  }
  return { kind: 'send', deliveryMs };
}
