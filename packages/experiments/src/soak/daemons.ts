/**
 * All gateways of a soak.
 */
import { setTimeout as wait } from 'node:timers/promises';

import { SoakDaemon } from './daemon.js';
import type { DaemonSettings } from './daemon.js';
import type { SoakRecorder } from './recorder.js';

const POLL_MS = 50;

export class SoakDaemons {
  readonly all: readonly SoakDaemon[];

  constructor(count: number, settings: DaemonSettings, recorder: SoakRecorder) {
    this.all = Array.from(
      { length: count },
      (_, index) => new SoakDaemon(index, count, settings, recorder),
    );
  }

  start(): void {
    this.all.forEach((daemon) => daemon.start());
  }

  /** Which daemon a disturbance strikes, by an index that wraps around. */
  get(target: number): SoakDaemon | undefined {
    return this.all[target % this.all.length];
  }

  /** Waits until each planned stop has ended one way or the other. */
  async waitUntilStopped(): Promise<void> {
    if (!this.all.some(({ isStopping }) => isStopping)) return;
    await wait(POLL_MS);
    await this.waitUntilStopped();
  }

  kill(): void {
    this.all.forEach((daemon) => daemon.kill());
  }
}
