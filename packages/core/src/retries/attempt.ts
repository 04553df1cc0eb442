/**
 * The state machine of one attempt to run a request at an upstream. This is the only place that
 * decides between the outcomes `not-run` and `unknown`: an attempt counts as not run only if no byte
 * of it was written, or if the upstream itself said that it did not run it.
 */
import { BaseError, RESULT_CODES } from '../results/index.js';
import type { ResultName } from '../results/index.js';

/** `unsent`: no byte was written. `sent`: at least one byte may have been written. */
export type OpenAttempt = 'unsent' | 'sent';

export type AttemptEnd =
  { readonly kind: 'answered' } | { readonly kind: 'failed'; readonly result: ResultName };

export type AttemptState = OpenAttempt | AttemptEnd;

export type AttemptEvent =
  | 'write-started'
  | 'answer-whole'
  | 'answer-invalid'
  | 'refused-unrun'
  | 'connection-lost'
  | 'deadline-reached'
  | 'caller-gone';

export const AttemptError = BaseError.subclass('AttemptError');

const ANSWERED: AttemptEnd = { kind: 'answered' };

function buildFailure(result: ResultName): AttemptEnd {
  return { kind: 'failed', result };
}

const TRANSITIONS: Readonly<
  Record<OpenAttempt, Readonly<Partial<Record<AttemptEvent, AttemptState>>>>
> = {
  unsent: {
    'write-started': 'sent',
    'connection-lost': buildFailure('noUpstream'),
    'deadline-reached': buildFailure('deadlinePassed'),
    'caller-gone': buildFailure('deadlinePassed'),
  },
  sent: {
    'answer-whole': ANSWERED,
    'answer-invalid': buildFailure('answerInvalid'),
    'refused-unrun': buildFailure('upstreamsShed'),
    'connection-lost': buildFailure('upstreamLost'),
    'deadline-reached': buildFailure('deadlineReached'),
    'caller-gone': buildFailure('callerGone'),
  },
};

export function isEnded(state: AttemptState): state is AttemptEnd {
  return typeof state === 'object';
}

/** Computes the next state. Throws AttemptError if the event cannot happen in this state. */
export function computeNextState(state: AttemptState, event: AttemptEvent): AttemptState {
  if (isEnded(state)) throw new AttemptError(`An attempt that has ended cannot handle ${event}`);
  const next = TRANSITIONS[state][event];
  if (next === undefined)
    throw new AttemptError(`An attempt that is ${state} cannot handle ${event}`);
  return next;
}

/** Whether the request may be retried after this end of an attempt. */
export function canTryAgain(end: AttemptEnd, repeatable: boolean): boolean {
  if (end.kind === 'answered') return false;
  if (end.result === 'deadlineReached' || end.result === 'callerGone') return false;
  return repeatable || RESULT_CODES[end.result].outcome === 'not-run';
}
