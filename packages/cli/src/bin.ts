#!/usr/bin/env node
/**
 * Entry of the `baobabline` command.
 */
import process from 'node:process';
import { hideBin } from 'yargs/helpers';

import { runCli } from './cli.js';

await runCli(hideBin(process.argv));
