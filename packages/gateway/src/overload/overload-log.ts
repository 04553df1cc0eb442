/**
 * Logs services that are short of capacity: the requests refused since the last line, by reason, and
 * the accounts over their share. At most one line a second for each service.
 */
import type { Clock } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

import type { ServiceOverload } from '../requests/index.js';

export interface OverloadedService {
  readonly name: string;
  describeOverload(): ServiceOverload;
}

const MIN_INTERVAL_MS = 1000;

type LoggedState = ServiceOverload & { readonly at: number };

const NOTHING: LoggedState = {
  at: Number.NEGATIVE_INFINITY,
  refused: new Map(),
  accountsOverShare: [],
};

export class OverloadLog {
  readonly #clock: Clock;

  readonly #log: Log;

  readonly #logged = new Map<string, LoggedState>();

  constructor(clock: Clock, log: Log) {
    this.#clock = clock;
    this.#log = log;
  }

  runTick(services: readonly OverloadedService[]): void {
    services.forEach((service) => this.#logService(service));
  }

  #logService(service: OverloadedService): void {
    const { name } = service;
    const at = this.#clock.now();
    const last = this.#logged.get(name) ?? NOTHING;
    if (at < last.at + MIN_INTERVAL_MS) return;
    const state = service.describeOverload();
    const refused = [...state.refused]
      .map(([reason, count]) => [reason, count - (last.refused.get(reason) ?? 0)] as const)
      .filter(([, count]) => count > 0);
    const accounts = state.accountsOverShare;
    if (refused.length === 0 && accounts.join('\n') === last.accountsOverShare.join('\n')) return;
    this.#logged.set(name, { ...state, at });
    this.#log.info('overload', {
      service: name,
      refused: Object.fromEntries(refused),
      accountsOverShare: accounts,
    });
  }
}
