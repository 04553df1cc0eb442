/**
 * `baobabline daemon`: runs a daemon until it is asked to stop, or prints the settings' schema.
 */
import { buildSettingsSchema, loadSettings, runDaemon } from '@baobabline/daemon';
import process from 'node:process';

export type DaemonOptions = {
  readonly settings?: string | undefined;
  readonly printSchema?: boolean | undefined;
};

/** Rejects with SettingsError where the settings are refused. */
export async function runDaemonCommand({ settings, printSchema }: DaemonOptions): Promise<void> {
  if (printSchema === true) {
    process.stdout.write(`${JSON.stringify(buildSettingsSchema(), undefined, 2)}\n`);
    return;
  }
  await runDaemon(await loadSettings(settings ?? 'settings.json'));
}
