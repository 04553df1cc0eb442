/**
 * Follows the dispatchers of the own data centre: one waiting call each, which brings changes of
 * the records at once and shows at once when a dispatcher is gone.
 */
import type { Changes, Clock, Member } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';
import { setTimeout as wait } from 'node:timers/promises';

import type { FollowAnswer } from '../peers/index.js';

export type FollowerPorts = {
  readonly clock: Clock;
  readonly log: Log;
  /** Dispatchers to follow now. */
  readonly listDispatchers: () => readonly Member[];
  readonly getRevision: () => number;
  readonly follow: (member: Member, revision: number, waitMs: number) => Promise<FollowAnswer>;
  readonly onChanges: (changes: Changes) => void;
  readonly onLost: (member: Member, reason: string) => void;
  /** Called with what a dispatcher says of itself. */
  readonly onHeard: (member: Member) => void;
};

/** How long a call waits; a dispatcher that has fallen silent is found out so late at most. */
const WAIT_MS = 700;
const PAUSE_AFTER_LOSS_MS = 200;

export class PeerFollower {
  readonly #ports: FollowerPorts;

  readonly #followed = new Set<string>();

  #currentAt = Number.NEGATIVE_INFINITY;

  #isStopped = false;

  constructor(ports: FollowerPorts) {
    this.#ports = ports;
  }

  /**
   * When a dispatcher that the store answers last answered, in milliseconds of the daemon's clock;
   * minus infinity once the last one that answered is cut off from the store.
   */
  get currentAt(): number {
    return this.#currentAt;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Starts to follow dispatchers that are not followed yet. */
  runTick(): void {
    this.#ports
      .listDispatchers()
      .filter(({ id }) => !this.#followed.has(id))
      .forEach((member) => {
        this.#followed.add(member.id);
        this.#follow(member);
      });
  }

  /** Follows a dispatcher until it is none any more. */
  #follow(member: Member): void {
    const wanted = this.#ports.listDispatchers().find(({ id }) => id === member.id);
    if (!wanted || this.#isStopped) {
      this.#followed.delete(member.id);
      return;
    }
    this.#followOnce(wanted)
      .catch((error: Error) =>
        this.#ports.log.error('follow-failed', { daemon: member.id, reason: error.message }),
      )
      .finally(() => setImmediate(() => this.#follow(wanted)));
  }

  async #followOnce(member: Member): Promise<void> {
    const { getRevision, follow, onChanges, onHeard, onLost, clock } = this.#ports;
    try {
      const { changes, from, isCurrent } = await follow(member, getRevision(), WAIT_MS);
      if (isCurrent) this.#currentAt = clock.now();
      else this.#currentAt = Number.NEGATIVE_INFINITY;
      onHeard(from);
      if (changes.records.length > 0 || changes.revision > getRevision()) onChanges(changes);
    } catch (error) {
      onLost(member, (error as Error).message);
      await wait(PAUSE_AFTER_LOSS_MS);
    }
  }
}
