/**
 * A gateway of a soak: it is started again whenever its process ends, gets the signals of the
 * disturbances, and is killed as the platform would do it if a planned stop outlasts its grace.
 */
import { GatewayProcess } from '@baobabline/stand-ins';
import { setTimeout as wait } from 'node:timers/promises';

import type { SoakRecorder } from './recorder.js';
import type { PlannedSignal, Strike } from './types.js';

export type DaemonSettings = {
  readonly program: string;
  readonly folder: string;
  readonly logFolder: string | undefined;
  /** The first three numbers of all addresses. */
  readonly network: string;
  readonly storePort: number;
  readonly graceMs: number;
  /** Bounds beside those of stops and retries, as texts `name=value`. */
  readonly bounds: readonly string[];
};

const DATA_CENTRES = 2;
const SEEDS = 3;
/** A process that overran its grace, as it stood still, is given so much longer to end by itself. */
const OVERRUN_MS = 5000;
const STOP_SIGNALS: readonly string[] = ['SIGTERM', 'SIGINT'];

export class SoakDaemon {
  readonly id: string;

  readonly address: string;

  readonly #process: GatewayProcess;

  readonly #graceMs: number;

  readonly #recorder: SoakRecorder;

  #stoppingLife = 0;

  #isOver = false;

  constructor(index: number, count: number, settings: DaemonSettings, recorder: SoakRecorder) {
    const { network, graceMs, ...shared } = settings;
    const getAddress = (at: number): string => `${network}.${at + 1}`;
    this.id = `vm-${index}`;
    this.address = getAddress(index);
    this.#graceMs = graceMs;
    this.#recorder = recorder;
    this.#process = new GatewayProcess({
      program: shared.program,
      folder: shared.folder,
      ...(shared.logFolder === undefined ? {} : { logFolder: shared.logFolder }),
      id: this.id,
      dataCentre: `z${1 + (index % DATA_CENTRES)}`,
      address: this.address,
      seeds: Array.from({ length: Math.min(SEEDS, count) }, (_, at) => getAddress(at)),
      storePort: shared.storePort,
      stopGraceSeconds: graceMs / 1000,
      bounds: shared.bounds,
    });
  }

  get life(): number {
    return this.#process.startCount;
  }

  get isStopping(): boolean {
    return this.#stoppingLife === this.life;
  }

  start(): void {
    this.#process.start((code, signal) => {
      if (this.#isOver) return;
      const { id, life } = this;
      this.#recorder.add('exits', { daemon: id, life, atMs: this.#recorder.now, code, signal });
      this.start();
    });
  }

  /** Sends signals one after the other; those for a process that is gone are left out. */
  async sendSignals(signals: readonly PlannedSignal[], followsRestart: boolean): Promise<void> {
    const { life } = this;
    await Promise.all(
      signals.map(async ({ signal, afterMs, forMs = 0 }) => {
        await wait(afterMs);
        if (this.#isOver || (this.life !== life && !followsRestart)) return;
        const kind = this.#getKind(signal);
        this.#record(kind, forMs);
        this.#process.sendSignal(signal);
        if (kind === 'stop') this.#expectEnd().catch(() => undefined);
        if (kind !== 'pause') return;
        await wait(forMs);
        this.#process.sendSignal('SIGCONT');
      }),
    );
  }

  /** Ends the process for good. */
  kill(): void {
    this.#isOver = true;
    this.#process.sendSignal('SIGCONT');
    this.#process.sendSignal('SIGKILL');
  }

  #getKind(signal: PlannedSignal['signal']): Strike['kind'] {
    if (STOP_SIGNALS.includes(signal)) return this.isStopping ? 'again' : 'stop';
    if (signal === 'SIGHUP') return 'reload';
    return signal === 'SIGKILL' ? 'kill' : 'pause';
  }

  #record(kind: Strike['kind'], forMs = 0): void {
    const atMs = this.#recorder.now;
    const { id, life } = this;
    this.#recorder.add('struck', { daemon: id, life, atMs, endMs: atMs + forMs, kind });
  }

  async #expectEnd(): Promise<void> {
    const { life } = this;
    this.#stoppingLife = life;
    await wait(this.#graceMs + OVERRUN_MS);
    if (this.#isOver || this.life !== life) return;
    this.#record('overdue');
    this.#process.sendSignal('SIGKILL');
  }
}
