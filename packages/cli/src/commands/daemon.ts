/**
 * `baobabline daemon`: runs a daemon until it is asked to stop.
 */
import { buildSettingsSchema, Daemon, loadSettings } from '@baobabline/daemon';
import process from 'node:process';

export type DaemonOptions = {
  readonly settings?: string | undefined;
  readonly printSchema?: boolean | undefined;
};

/** Runs a daemon. Rejects with SettingsError where the settings are refused. */
export async function runDaemon(options: DaemonOptions): Promise<void> {
  if (options.printSchema === true) {
    process.stdout.write(`${JSON.stringify(buildSettingsSchema(), undefined, 2)}\n`);
    return;
  }
  const daemon = new Daemon(await loadSettings(options.settings ?? ''));
  const stop = (): void => {
    daemon
      .stop()
      .then(() => process.exit(0))
      .catch(() => process.exit(1));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  await daemon.start();
}
