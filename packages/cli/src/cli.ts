/**
 * The command line `baobabline`. Exit codes: 0 done, 1 failed, 2 refused input.
 */
import { SettingsError } from '@baobabline/daemon';
import process from 'node:process';
import yargs from 'yargs';

import { CheckError, runCheckLists, runCheckSettings } from './commands/checks.js';
import { runDaemonCommand } from './commands/daemon.js';
import { runExplainLog } from './commands/explain-log.js';
import { runEntries, runExplain, runStatus } from './commands/questions.js';

const EXIT_FAILED = 1;
const EXIT_REFUSED = 2;
/** As in the gateway's settings. */
const DEFAULT_QUOTA_WINDOW_SECONDS = 5;

const OPERATOR_OPTIONS = {
  operator: {
    type: 'string',
    default: 'http://127.0.0.1:7003',
    describe: "URL of the daemon's operators' listener",
  },
  json: { type: 'boolean', default: false, describe: 'print JSON' },
} as const;

function fail(error: Error): void {
  process.stderr.write(`${error.message}\n`);
  const isRefusal = error instanceof SettingsError || error instanceof CheckError;
  process.exitCode = isRefusal ? EXIT_REFUSED : EXIT_FAILED;
}

async function run(work: Promise<void>): Promise<void> {
  await work.catch(fail);
}

/** Runs the command line with the given words. */
export async function runCli(words: readonly string[]): Promise<void> {
  await yargs(words)
    .scriptName('baobabline')
    .command(
      'daemon',
      'Run a daemon',
      {
        settings: { type: 'string', describe: 'settings file (JSON)' },
        'print-schema': { type: 'boolean', describe: 'print the JSON Schema of the settings' },
      },
      async (args) => run(runDaemonCommand(args)),
    )
    .command(
      'check-settings <file>',
      'Check a settings file',
      (command) => command.positional('file', { type: 'string', demandOption: true }),
      async ({ file }) => run(runCheckSettings(file)),
    )
    .command(
      'check-lists <file>',
      'Check the two lists, or a VM list, before they are published',
      (command) =>
        command
          .positional('file', { type: 'string', demandOption: true })
          .option('kind', { choices: ['lists', 'vm-list'] as const, default: 'lists' as const })
          .option('out', { type: 'string', describe: 'write the values to publish here' }),
      async ({ file, kind, out }) => run(runCheckLists({ file, kind, out })),
    )
    .command(
      'check-config <file>',
      "Check a configuration of the platform; exit code 1 with findings, 2 if it can't be read",
      (command) =>
        command
          .positional('file', { type: 'string', demandOption: true })
          .option('in-force', { type: 'string', describe: 'compare with this configuration' })
          .option('quota-window', {
            type: 'number',
            default: DEFAULT_QUOTA_WINDOW_SECONDS,
            describe: 'span for which the quotas of accounts count, in seconds',
          })
          .option('json', OPERATOR_OPTIONS.json),
      async ({ file, inForce, quotaWindow, json }) => {
        // Loads the platform's adapter and the gateway, which no other command needs.
        const { runCheckConfig } = await import('./commands/check-config.js');
        await run(runCheckConfig({ file, inForce, quotaWindow, json }));
      },
    )
    .command('status', 'Show what a daemon sees', OPERATOR_OPTIONS, async (args) =>
      run(runStatus(args)),
    )
    .command(
      'entries',
      'Show which addresses a daemon would name',
      {
        ...OPERATOR_OPTIONS,
        customer: { type: 'string', demandOption: true },
        service: { type: 'string', demandOption: true },
      },
      async (args) => run(runEntries(args)),
    )
    .command(
      'explain <id>',
      'Show why a request went where it went or was refused',
      (command) =>
        command
          .positional('id', { type: 'string', demandOption: true })
          .options(OPERATOR_OPTIONS)
          .option('log', {
            type: 'string',
            array: true,
            describe: 'read log files of gateway daemons instead (- is standard input)',
          }),
      async ({ id, log, ...target }) =>
        run(log ? runExplainLog({ id, files: log, json: target.json }) : runExplain(target, id)),
    )
    .demandCommand(1, 'Name a command')
    .strict()
    .help()
    .parseAsync();
}
