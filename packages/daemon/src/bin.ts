#!/usr/bin/env node
/**
 * The daemon as a program of its own: `daemon SETTINGS.json`. Exit code 2 means that the settings
 * were refused.
 */
import { Daemon } from './daemon.js';
import { loadSettings, SettingsError } from './settings/index.js';

const EXIT_BAD_SETTINGS = 2;

async function runDaemon(file: string): Promise<void> {
  const daemon = new Daemon(await loadSettings(file));
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

runDaemon(process.argv[2] ?? 'settings.json').catch((error: Error) => {
  process.stderr.write(`${error.message}\n`);
  process.exit(error instanceof SettingsError ? EXIT_BAD_SETTINGS : 1);
});
