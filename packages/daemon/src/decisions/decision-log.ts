/**
 * Remembers and logs why requests went where they went, for the log and for `explain`.
 */
import type { PassedOver } from '@baobabline/core';
import { LRUCache } from 'lru-cache';

import type { Log } from '../runtime/log.js';

export type Decision = {
  readonly requestId: string;
  readonly service: string;
  readonly step: 'dispatched' | 'handed-on' | 'waiting' | 'refused' | 'answered';
  readonly upstream?: string | undefined;
  readonly slot?: string | undefined;
  readonly daemon?: string | undefined;
  readonly attempt?: number | undefined;
  readonly timeLeftMs: number;
  readonly passedOver?: readonly PassedOver[] | undefined;
  readonly code?: number | undefined;
  readonly detail?: string | undefined;
};

const KEPT_REQUESTS = 2000;

export class DecisionLog {
  readonly #log: Log;

  readonly #kept = new LRUCache<string, readonly Decision[]>({ max: KEPT_REQUESTS });

  constructor(log: Log) {
    this.#log = log;
  }

  record(decision: Decision): void {
    const { requestId } = decision;
    this.#kept.set(requestId, [...(this.#kept.get(requestId) ?? []), decision]);
    if (this.#log.shouldLogDecision()) this.#log.decision('decision', decision);
  }

  /** All that is remembered about one request, oldest first. */
  explain(requestId: string): readonly Decision[] {
    return this.#kept.get(requestId) ?? [];
  }
}
