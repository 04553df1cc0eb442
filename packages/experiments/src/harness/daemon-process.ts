/**
 * Daemons as real processes: start with generated settings, wait until they serve, kill, freeze
 * or stop them. Only processes started here are ever signalled.
 */
import type { Settings, Status } from '@baobabline/daemon';
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { createInterface } from 'node:readline';
import { request as sendHttp } from 'undici';

type LogLine = Readonly<Record<string, unknown>> & { readonly event: string };

type Ports = { readonly callers: number; readonly peers: number; readonly operators: number };

/** Settings as an operator writes them: fields with defaults may be left out. */
export type DaemonSettings = Pick<
  Settings,
  'id' | 'dataCentre' | 'configurationService' | 'vmListService' | 'seeds'
> &
  Partial<Omit<Settings, 'logs'>> & { readonly logs?: Partial<Settings['logs']> };

const DAEMON_BIN = join(
  dirname(createRequire(import.meta.url).resolve('@baobabline/daemon')),
  'bin.js',
);
const LOOPBACK = '127.0.0.1';
const ANY_PORT = { address: LOOPBACK, port: 0 };

export class DaemonProcess {
  readonly id: string;

  readonly dataCentre: string;

  readonly #child: ChildProcess;

  readonly #exited: Promise<void>;

  readonly #listeners = new Set<(line: LogLine) => void>();

  #lines: readonly LogLine[] = [];

  #ports: Ports | undefined;

  private constructor(settings: DaemonSettings, file: string) {
    this.id = settings.id;
    this.dataCentre = settings.dataCentre;
    this.#child = spawn(process.execPath, [DAEMON_BIN, file], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.#exited = new Promise((resolve) => {
      this.#child.once('exit', () => resolve());
    });
    createInterface({ input: this.#child.stdout as NodeJS.ReadableStream }).on('line', (text) =>
      this.#handleLine(text),
    );
  }

  /** Starts a daemon and resolves once it listens. */
  static async start(settings: DaemonSettings): Promise<DaemonProcess> {
    const folder = await mkdtemp(join(tmpdir(), 'baobabline-'));
    const file = join(folder, `${settings.id}.json`);
    const written = { callers: ANY_PORT, peers: ANY_PORT, operators: ANY_PORT, ...settings };
    await writeFile(file, JSON.stringify(written));
    const daemon = new DaemonProcess(settings, file);
    const { ports } = await daemon.waitForEvent('listening');
    daemon.#ports = ports as Ports;
    return daemon;
  }

  get pid(): number {
    return this.#child.pid as number;
  }

  get ports(): Ports {
    return this.#ports as Ports;
  }

  get callerAddress(): { readonly address: string; readonly port: number } {
    return { address: LOOPBACK, port: this.ports.callers };
  }

  get peerAddress(): { readonly address: string; readonly port: number } {
    return { address: LOOPBACK, port: this.ports.peers };
  }

  get operatorUrl(): string {
    return `http://${LOOPBACK}:${this.ports.operators}`;
  }

  /** Events logged so far; routing decisions are not kept. */
  get events(): readonly LogLine[] {
    return this.#lines;
  }

  /** Resolves with the first line of an event, logged before or after this call. */
  async waitForEvent(event: string): Promise<LogLine> {
    return this.waitForLine((line) => line.event === event);
  }

  /** Resolves with the first line that matches, logged before or after this call. */
  async waitForLine(matches: (line: LogLine) => boolean): Promise<LogLine> {
    const logged = this.#lines.find(matches);
    if (logged) return logged;
    return new Promise((resolve, reject) => {
      const listen = (line: LogLine): void => {
        if (!matches(line)) return;
        this.#listeners.delete(listen);
        resolve(line);
      };
      this.#listeners.add(listen);
      this.#exited
        .then(() => reject(new Error(`Daemon ${this.id} ended before the line came`)))
        .catch(() => undefined);
    });
  }

  /** Reads what the daemon believes. */
  async readStatus(): Promise<Status> {
    const response = await sendHttp(`${this.operatorUrl}/status`);
    return (await response.body.json()) as Status;
  }

  /** Reads one metric without labels. */
  async readMetric(name: string): Promise<number> {
    const response = await sendHttp(`${this.operatorUrl}/metrics`);
    const text = await response.body.text();
    const line = text.split('\n').find((row) => row.startsWith(`${name} `));
    return Number(line?.split(' ')[1] ?? Number.NaN);
  }

  /** Asks for a planned stop and resolves when the process has ended. */
  async stop(): Promise<void> {
    this.#child.kill('SIGTERM');
    await this.#exited;
  }

  async kill(): Promise<void> {
    this.#child.kill('SIGKILL');
    await this.#exited;
  }

  freeze(): void {
    this.#child.kill('SIGSTOP');
  }

  thaw(): void {
    this.#child.kill('SIGCONT');
  }

  #handleLine(text: string): void {
    const line = JSON.parse(text) as LogLine;
    if (line.event !== 'decision') this.#lines = [...this.#lines, line];
    this.#listeners.forEach((listen) => listen(line));
  }
}
