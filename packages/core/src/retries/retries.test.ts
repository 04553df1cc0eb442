import { expect } from 'chai';

import { RESULT_CODES } from '../results/index.js';
import { canTryAgain, computeNextState, isEnded, RetryBudget } from './index.js';
import type { AttemptEvent, AttemptState, OpenAttempt } from './index.js';

const EVENTS: readonly AttemptEvent[] = [
  'write-started',
  'answer-whole',
  'answer-invalid',
  'refused-unrun',
  'connection-lost',
  'deadline-reached',
  'caller-gone',
];

/** The state after each event: an outcome, `answered`, an open state, or `error`. */
const EXPECTED: Readonly<Record<OpenAttempt, Readonly<Record<AttemptEvent, string>>>> = {
  unsent: {
    'write-started': 'sent',
    'answer-whole': 'error',
    'answer-invalid': 'error',
    'refused-unrun': 'error',
    'connection-lost': 'not-run',
    'deadline-reached': 'not-run',
    'caller-gone': 'not-run',
  },
  sent: {
    'write-started': 'error',
    'answer-whole': 'answered',
    'answer-invalid': 'unknown',
    'refused-unrun': 'not-run',
    'connection-lost': 'unknown',
    'deadline-reached': 'unknown',
    'caller-gone': 'unknown',
  },
};

function describeState(state: AttemptState): string {
  if (!isEnded(state)) return state;
  return state.kind === 'answered' ? 'answered' : RESULT_CODES[state.result].outcome;
}

function runEvent(state: AttemptState, event: AttemptEvent): string {
  try {
    return describeState(computeNextState(state, event));
  } catch {
    return 'error';
  }
}

describe('attempt', () => {
  (['unsent', 'sent'] as const).forEach((state) =>
    EVENTS.forEach((event) => {
      it(`that is ${state} and handles ${event} becomes ${EXPECTED[state][event]}`, () => {
        expect(runEvent(state, event)).to.equal(EXPECTED[state][event]);
      });
    }),
  );

  it('that has ended accepts no event', () => {
    EVENTS.forEach((event) => expect(runEvent({ kind: 'answered' }, event)).to.equal('error'));
  });

  it('is retried for a non-repeatable request only if it provably did not run', () => {
    const lost = { kind: 'failed', result: 'upstreamLost' } as const;
    const shed = { kind: 'failed', result: 'upstreamsShed' } as const;
    expect(canTryAgain(lost, false)).to.equal(false);
    expect(canTryAgain(lost, true)).to.equal(true);
    expect(canTryAgain(shed, false)).to.equal(true);
  });
});

describe('RetryBudget', () => {
  it('limits retries to a share of the successes', () => {
    const budget = new RetryBudget({ tokensPerSuccess: 0.1, maxTokens: 2 });
    const countTaken = (): number =>
      Array.from({ length: 100 }).filter(() => budget.takeRetry()).length;
    expect(countTaken()).to.equal(1);
    Array.from({ length: 1000 }).forEach(() => budget.recordSuccess());
    expect(countTaken()).to.equal(2);
  });
});
