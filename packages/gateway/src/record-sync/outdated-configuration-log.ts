/**
 * Tells operators that the store holds a configuration which this daemon cannot use, as long as it lasts:
 * requests are served by the configuration before, and keys are accepted until the key lease ends.
 */
import type { Clock, Replica } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

const REPEAT_MS = 10_000;

export class OutdatedConfigurationLog {
  readonly #clock: Clock;

  readonly #log: Pick<Log, 'warn' | 'info'>;

  readonly #replica: Pick<Replica, 'unusableConfiguration' | 'configuration'>;

  #since: number | undefined;

  #loggedAt = Number.NEGATIVE_INFINITY;

  constructor(
    clock: Clock,
    log: Pick<Log, 'warn' | 'info'>,
    replica: Pick<Replica, 'unusableConfiguration' | 'configuration'>,
  ) {
    this.#clock = clock;
    this.#log = log;
    this.#replica = replica;
  }

  runTick(): void {
    const now = this.#clock.now();
    const { unusableConfiguration: unusable, configuration } = this.#replica;
    const versionInForce = configuration?.version;
    if (!unusable) {
      if (this.#since === undefined) return;
      const lastedMs = Math.round(now - this.#since);
      this.#since = undefined;
      this.#log.info('configuration-newest', { versionInForce, lastedMs });
      return;
    }
    const isNew = this.#since === undefined;
    this.#since ??= now;
    if (!isNew && now < this.#loggedAt + REPEAT_MS) return;
    this.#loggedAt = now;
    const { era, revision } = unusable;
    const sinceMs = Math.round(now - this.#since);
    this.#log.warn('configuration-outdated', { versionInForce, era, revision, sinceMs });
  }
}
