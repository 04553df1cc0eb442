#!/usr/bin/env node
/**
 * Experiments over real processes. Each prints progress on standard error and one JSON object as
 * its last line.
 */
import process from 'node:process';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { DEPLOYMENT_NAMES } from './deployment/deployments.js';
import { DetectionExperiment } from './detection/detection-experiment.js';
import { DETECTION_FAULTS } from './detection/faults.js';
import { printResult } from './runner/report.js';

const COMMON = {
  seed: { type: 'number', default: 1, describe: 'seed of load, service times and choices' },
  deployment: { choices: DEPLOYMENT_NAMES, default: 'agnirakshak' as const },
} as const;

await yargs(hideBin(process.argv))
  .scriptName('experiment')
  .command(
    'detection',
    'Detection time and false ejections, with the baseline beside it',
    {
      ...COMMON,
      fault: { choices: DETECTION_FAULTS, default: 'slow' as const },
      daemons: { type: 'number', default: 12 },
      trials: { type: 'number', default: 5 },
    },
    async (options) => {
      const experiment = new DetectionExperiment(options);
      const figures = await experiment.measure('pooled');
      const baseline = await experiment.measure('consecutive-failures');
      const { deployment, fault } = options;
      printResult({ deployment, fault, ...figures, baseline });
    },
  )
  .demandCommand(1)
  .strict()
  .parseAsync();
process.exit(0);
