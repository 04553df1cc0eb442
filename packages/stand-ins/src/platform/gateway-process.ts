/**
 * A gateway as the platform runs it: a process with a settings file in the platform's format, on an
 * address of its own in the loopback range. Signals are sent to it by its id only.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { closeSync, openSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

export type GatewayProcessSettings = {
  /** The program: a script for Node. */
  readonly program: string;
  /** Where the settings file goes. */
  readonly folder: string;
  readonly id: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly seeds: readonly string[];
  readonly storePort: number;
  /** Seconds from SIGTERM until the platform would kill it. */
  readonly stopGraceSeconds: number;
  /** Bounds of the settings file beside those of planned stops and retries. */
  readonly bounds?: readonly string[];
  /** Arguments for Node itself. */
  readonly nodeArguments?: readonly string[];
  /** Receives what the process logs, in pieces; it is dropped where absent. */
  readonly onLog?: (text: string) => void;
  /** Where each process leaves a file with what it logs; none is kept without it. */
  readonly logFolder?: string;
};

/** The same on all addresses, as on the platform. */
export const GATEWAY_PORTS = {
  front: 23_144,
  readiness: 23_140,
  control: 23_146,
  directory: 23_143,
  internal: 23_160,
};

/** The settings file of a process, in the platform's format. */
export function formatGatewaySettings(settings: GatewayProcessSettings): string {
  const { id, dataCentre, address, seeds, storePort, stopGraceSeconds, bounds = [] } = settings;
  const { internal, ...listen } = GATEWAY_PORTS;
  const seedList = seeds.map((seed) => `"${seed}:${GATEWAY_PORTS.control}"`).join(', ');
  const boundList = [
    `graceS=${stopGraceSeconds}`,
    'retryBudgetRatio=0.2',
    'retryBudgetSlack=640',
    ...bounds,
  ]
    .map((bound) => `"${bound}"`)
    .join(', ');
  return [
    `nodeName = "${id}"`,
    `zone = "${dataCentre}"`,
    `internalPorts = [${internal}, ${internal + 5}]`,
    `seeds = [${seedList}]`,
    `bounds = [${boundList}]`,
    '[listenAddrs]',
    ...Object.entries(listen).map(([name, port]) => `${name} = "${address}:${port}"`),
    '[platform]',
    `address = "127.0.0.1:${storePort}"`,
    '',
  ].join('\n');
}

export class GatewayProcess {
  readonly settings: GatewayProcessSettings;

  #child: ChildProcess | undefined;

  #startCount = 0;

  constructor(settings: GatewayProcessSettings) {
    this.settings = settings;
  }

  /** Number of starts; tells successive processes apart. */
  get startCount(): number {
    return this.#startCount;
  }

  /** The id of the process that runs; undefined while none does. */
  get processId(): number | undefined {
    return this.#child?.pid;
  }

  get isRunning(): boolean {
    return this.#child !== undefined && this.#child.exitCode === null && !this.#child.killed;
  }

  /** Starts a process; `onExit` receives its exit code and signal. */
  start(onExit: (code: number | null, signal: string | null) => void): void {
    const { program, folder, id, nodeArguments = [], onLog, logFolder } = this.settings;
    const file = join(folder, `${id}.toml`);
    writeFileSync(file, formatGatewaySettings(this.settings));
    this.#startCount += 1;
    const log =
      logFolder === undefined
        ? undefined
        : openSync(join(logFolder, `${id}-${this.#startCount}.log`), 'w');
    const child = spawn(process.execPath, [...nodeArguments, program], {
      env: { ...process.env, BAOBABLINE_SETTINGS: file },
      stdio: ['ignore', onLog ? 'pipe' : (log ?? 'ignore'), log ?? 'inherit'],
    });
    if (log !== undefined) closeSync(log);
    if (onLog) child.stdout?.on('data', (chunk: Buffer) => onLog(String(chunk)));
    this.#child = child;
    child.once('exit', (code, signal) => {
      if (this.#child === child) this.#child = undefined;
      onExit(code, signal);
    });
  }

  /** Sends a signal to the process that this object started, if it still runs. */
  sendSignal(signal: NodeJS.Signals): void {
    if (this.#child?.exitCode === null) this.#child.kill(signal);
  }
}
