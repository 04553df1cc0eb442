/**
 * What a request shows to the queue of its service.
 */
import { isLargeBody, isRepeatableKind } from '@baobabline/core';
import type { QueuedRequest } from '@baobabline/core';

import type { RoutedRequest } from './types.js';

/** A queued request must be sent this share of a mean attempt time before its deadline. */
const SHORTEST_ATTEMPT_SHARE = 0.5;
const MIN_ATTEMPT_MS = 20;

export type QueueEntry = QueuedRequest & {
  readonly isRepeatable: boolean;
  /** Whether it may find no upstream although others do; it holds nothing up behind it. */
  readonly hasLargeBody: boolean;
};

export function buildQueueEntry(
  { id, arrivedAt, endAt, priority, route, caller, bodyBytes }: RoutedRequest,
  usualAttemptMs: number,
  isRetry: boolean,
): QueueEntry {
  return {
    id,
    arrivedAt,
    expectedAttemptMs: usualAttemptMs,
    isRetry,
    priority,
    accountName: caller?.account.name,
    isRepeatable: isRepeatableKind(route.kind),
    hasLargeBody: isLargeBody(bodyBytes),
    targetAt: arrivedAt + route.targetLatencyMs,
    latestSendAt: endAt - Math.max(MIN_ATTEMPT_MS, usualAttemptMs * SHORTEST_ATTEMPT_SHARE),
  };
}
