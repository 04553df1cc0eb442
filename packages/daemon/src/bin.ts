#!/usr/bin/env node
/**
 * The daemon as a program of its own: `daemon SETTINGS.json`. Exit code 2 means that the settings
 * were refused.
 */
import { runDaemon } from './run-daemon.js';
import { loadSettings, SettingsError } from './settings/index.js';

const EXIT_BAD_SETTINGS = 2;

loadSettings(process.argv[2] ?? 'settings.json')
  .then(runDaemon)
  .catch((error: Error) => {
    process.stderr.write(`${error.message}\n`);
    process.exit(error instanceof SettingsError ? EXIT_BAD_SETTINGS : 1);
  });
