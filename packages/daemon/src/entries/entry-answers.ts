/**
 * Answers callers that ask which addresses to use, and issues the start of idempotency keys.
 */
import { chooseEntryPoints, createRefusal, formatKeyPrefix, hashText } from '@baobabline/core';
import type { Clock, EntryPoint, EntryPointQuery } from '@baobabline/core';

import type { FleetView } from '../fleet/index.js';

export type EntryAnswer = {
  /** Addresses in the order in which they should be tried. */
  readonly entries: readonly EntryPoint[];
  /** Seconds for which the answer may be kept. */
  readonly holdSeconds: number;
  /** Start of an idempotency key; the caller appends 8 to 64 of A-Z a-z 0-9 _ - */
  readonly keyPrefix: string;
  /** Seconds for which keys with this start may be used. */
  readonly keyLifeSeconds: number;
};

export type EntryAnswersDependencies = {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly holdSeconds: number;
  readonly keyLifeSeconds: number;
};

export type ServiceEntryQuery = EntryPointQuery & { readonly service?: string | undefined };

const MS_PER_SECOND = 1000;

export class EntryAnswers {
  readonly #dependencies: EntryAnswersDependencies;

  #keysExpireAt = 0;

  constructor(dependencies: EntryAnswersDependencies) {
    this.#dependencies = dependencies;
  }

  /** When the last key that was issued expires; until then only this process may run its request. */
  get keysExpireAt(): number {
    return this.#keysExpireAt;
  }

  answer(query: ServiceEntryQuery): EntryAnswer {
    const { clock, view, holdSeconds, keyLifeSeconds } = this.#dependencies;
    const { self } = view.membership;
    // A key of a daemon that leaves could outlive it, and its resends would find nobody.
    if (self.state !== 'serving') throw createRefusal('stopping', { retryAfterSeconds: 1 });
    const service = query.service === undefined ? undefined : view.services.get(query.service);
    if (query.service !== undefined && !service) throw createRefusal('unknownService');
    const entries = this.#choose(query, service?.owners.map(({ id }) => id) ?? []);
    const expiresAt = clock.now() + keyLifeSeconds * MS_PER_SECOND;
    this.#keysExpireAt = Math.max(this.#keysExpireAt, expiresAt);
    return {
      entries,
      holdSeconds,
      keyPrefix: formatKeyPrefix({
        daemonId: self.id,
        incarnation: self.incarnation,
        expiresAt,
      }),
      keyLifeSeconds,
    };
  }

  #choose(query: EntryPointQuery, ownerIds: readonly string[]): readonly EntryPoint[] {
    const serving = this.#dependencies.view.membership.listServing();
    const owners = serving.filter(({ id }) => ownerIds.includes(id));
    return chooseEntryPoints(query, owners, serving, hashText);
  }
}
