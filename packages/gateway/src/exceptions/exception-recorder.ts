/**
 * Records exceptions that reached the place where they are contained, so that none passes unseen:
 * one line with the cause in the log, and a counter by the place.
 */
import type { Log } from '@baobabline/daemon';
import { inspect } from 'node:util';

/**
 * What was at work: a request of a caller, a query to the directory or about readiness, a call of
 * another daemon, or anything else in the process.
 */
export const EXCEPTION_ORIGINS = ['caller', 'query', 'peer', 'process'] as const;

export type ExceptionOrigin = (typeof EXCEPTION_ORIGINS)[number];

export type ExceptionHandler = (error: unknown) => void;

export type ExceptionRecorderDependencies = {
  readonly log: Log;
  readonly onRecorded: (origin: ExceptionOrigin) => void;
};

const MAX_CAUSE_LENGTH = 4000;
const MAX_REASON_LENGTH = 300;

export class ExceptionRecorder {
  readonly #dependencies: ExceptionRecorderDependencies;

  constructor(dependencies: ExceptionRecorderDependencies) {
    this.#dependencies = dependencies;
  }

  /** Records what was thrown, which may be no error at all. */
  record(origin: ExceptionOrigin, error: unknown): void {
    const text = inspect(error);
    const reason = error instanceof Error ? error.message : text;
    this.#dependencies.onRecorded(origin);
    this.#dependencies.log.error('exception', {
      origin,
      reason: reason.slice(0, MAX_REASON_LENGTH),
      cause: text.slice(0, MAX_CAUSE_LENGTH),
    });
  }
}
