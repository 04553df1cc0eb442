/**
 * Holds requests that reach a daemon while it starts.
 *
 * Load pattern: all VMs lose power together, and all callers reconnect as soon as the first daemons
 * listen again, some hundred milliseconds before these have a configuration. Most callers do not come
 * back after a refusal. A request is held until the daemon can serve it, for a part of the time that its
 * caller allows. A daemon that takes long to start may take much longer, and holds nothing any more.
 */
import { setTimeout as wait } from 'node:timers/promises';

import type { Clock } from '@baobabline/core';

export type StartupHoldPorts = {
  readonly clock: Clock;
  /** Whether requests can be served now. */
  readonly canServe: () => boolean;
};

type HeldRequest = {
  readonly endAt: number;
  /** Called once, when requests can be served or the time is over. */
  readonly onRelease: () => void;
};

/** A daemon that has not become ready by then is no longer expected to be ready soon. */
const STARTUP_MS = 1500;
/** Callers give up a daemon that leaves a request unread for a second, or a third of their time. */
const MAX_HOLD_MS = 800;
const MAX_HOLD_SHARE = 0.3;
const CHECK_INTERVAL_MS = 10;

export class StartupHold {
  readonly #ports: StartupHoldPorts;

  readonly #startedAt: number;

  #held: readonly HeldRequest[] = [];

  constructor(ports: StartupHoldPorts) {
    this.#ports = ports;
    this.#startedAt = ports.clock.now();
  }

  get size(): number {
    return this.#held.length;
  }

  /** Holds a request if the daemon is starting; returns whether `onRelease` will be called. */
  tryHold(timeAllowedMs: number, onRelease: () => void): boolean {
    const now = this.#ports.clock.now();
    if (this.#ports.canServe() || now > this.#startedAt + STARTUP_MS) return false;
    const endAt = now + Math.min(MAX_HOLD_MS, timeAllowedMs * MAX_HOLD_SHARE);
    this.#held = [...this.#held, { endAt, onRelease }];
    if (this.#held.length === 1) this.#poll().catch(() => undefined);
    return true;
  }

  /** Releases the requests whose time is over, or all once they can be served. */
  releaseDue(): void {
    const { clock, canServe } = this.#ports;
    const now = clock.now();
    const isDue = ({ endAt }: HeldRequest): boolean => endAt <= now || canServe();
    const due = this.#held.filter(isDue);
    this.#held = this.#held.filter((one) => !due.includes(one));
    due.forEach(({ onRelease }) => onRelease());
  }

  async #poll(): Promise<void> {
    await wait(CHECK_INTERVAL_MS);
    this.releaseDue();
    if (this.#held.length > 0) await this.#poll();
  }
}
