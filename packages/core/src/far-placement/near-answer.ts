/**
 * What the answer of a near upstream is worth to a caller: its value falls with the wait for a slot,
 * with the attempt time, which is longer at upstreams that are cold, and with the failure probability.
 */
import { computeExpectedWaitMs, isServable } from '../queueing/index.js';
import type { QueueState } from '../queueing/index.js';
import { computeAnswerValue } from './answer-value.js';
import type { FarReason, FarRequest, NearOption } from './types.js';

export type NearAnswer = {
  readonly value: number;
  /** Whether the request would be refused if it stayed. */
  readonly isRefused: boolean;
  /** Whether it would be in time if it did not have to wait. */
  readonly isInTime: boolean;
};

/** Computes the near answer: at `option` at once or, without one, after the queue in `state`. */
export function computeNearAnswer(
  request: FarRequest,
  option: NearOption | undefined,
  state: QueueState,
  attemptMs: number,
): NearAnswer {
  const waitMs = option ? 0 : computeExpectedWaitMs(state);
  const isRefused = !option && !isServable(state, request);
  const success = 1 - (option?.failureProbability ?? 0);
  const value = isRefused ? 0 : success * computeAnswerValue(waitMs + attemptMs, request);
  return { value, isRefused, isInTime: attemptMs <= request.targetLeftMs };
}

/** Finds why a far answer is better than the near one. */
export function findFarReason(answer: NearAnswer, option: NearOption | undefined): FarReason {
  if (answer.isRefused) return 'refusal-avoided';
  if (!option) return answer.isInTime ? 'wait-saved' : 'near-slow';
  return option.isCold || !answer.isInTime ? 'near-slow' : 'failure-avoided';
}
