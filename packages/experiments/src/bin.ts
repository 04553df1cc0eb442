#!/usr/bin/env node
/**
 * Experiments over real processes. Each prints progress on standard error and one JSON object as
 * its last line.
 */
import { writeFile } from 'node:fs/promises';
import process from 'node:process';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { ConfigurationExperiment } from './configuration/configuration-experiment.js';
import { CurveExperiment } from './curve/curve-experiment.js';
import { buildCurveSvg } from './curve/draw-curve.js';
import { Demo } from './demo/demo.js';
import { DEPLOYMENT_NAMES } from './deployment/deployments.js';
import { DetectionExperiment } from './detection/detection-experiment.js';
import { DETECTION_FAULTS } from './detection/faults.js';
import { FleetExperiment } from './fleet/fleet-experiment.js';
import { GatewayStopExperiment, PROFILE_NAMES } from './gateway-stop/index.js';
import { LimitsExperiment } from './limits/limits-experiment.js';
import { OnceExperiment } from './once/once-experiment.js';
import { PathExperiment } from './path/path-experiment.js';
import { buildPoliciesSvg } from './policies/draw-policies.js';
import { PoliciesExperiment } from './policies/policies-experiment.js';
import { printResult } from './runner/report.js';
import { describeSoaks, runSoaks } from './soak/index.js';
import { SlotsExperiment } from './slots/slots-experiment.js';
import { StopExperiment } from './stop/stop-experiment.js';
import { measureTables } from './tables/tables-experiment.js';

const SEED = { type: 'number', default: 1, describe: 'seed of load and choices' } as const;
const COUNT = { type: 'number' } as const;

await yargs(hideBin(process.argv))
  .scriptName('experiment')
  .command(
    'demo',
    'A small deployment in a wave, with a sick upstream and a stopped daemon',
    { seed: SEED, seconds: { ...COUNT, default: 15 } },
    async (options) => new Demo(options).run(),
  )
  .command(
    'path',
    'What a daemon adds to a request, and how many it carries',
    {
      seed: SEED,
      ratePerSecond: { ...COUNT, default: 175 },
      seconds: { ...COUNT, default: 15 },
      decisionSampling: { ...COUNT, default: 1 },
    },
    async (options) => printResult(await new PathExperiment(options).measure()),
  )
  .command(
    'detection',
    'Detection time and false ejections, with the baseline beside it',
    {
      seed: SEED,
      deployment: { choices: DEPLOYMENT_NAMES, default: 'agnirakshak' as const },
      fault: { choices: DETECTION_FAULTS, default: 'slow' as const },
      daemons: { ...COUNT, default: 12 },
      trials: { ...COUNT, default: 4 },
    },
    async (options) => {
      const experiment = new DetectionExperiment(options);
      const figures = await experiment.measure('pooled');
      const baseline = await experiment.measure('consecutive-failures');
      const { deployment, fault } = options;
      printResult({ deployment, fault, ...figures, baseline });
    },
  )
  .command(
    'curve',
    'Detection time against false ejections over the threshold, by replay',
    {
      seed: SEED,
      deployment: { choices: DEPLOYMENT_NAMES, default: 'agnirakshak' as const },
      seconds: { ...COUNT, default: 600 },
      trials: { ...COUNT, default: 20 },
      out: { type: 'string', describe: 'write the plot (SVG) here' },
    },
    async ({ out, ...options }) => {
      const points = new CurveExperiment(options).measure();
      if (out !== undefined) await writeFile(out, buildCurveSvg(options.deployment, points));
      printResult({ deployment: options.deployment, points });
    },
  )
  .command(
    'once',
    'At most once while daemons and upstreams fail',
    {
      seed: SEED,
      daemons: { ...COUNT, default: 9 },
      seconds: { ...COUNT, default: 30 },
      ratePerSecond: { ...COUNT, default: 250 },
    },
    async (options) => printResult(await new OnceExperiment(options).measure()),
  )
  .command(
    'stop',
    'Rolling restart of daemons and retirement of upstreams under load',
    {
      seed: SEED,
      daemons: { ...COUNT, default: 9 },
      ratePerSecond: { ...COUNT, default: 250 },
      together: { ...COUNT, default: 2 },
    },
    async (options) => printResult(await new StopExperiment(options).measure()),
  )
  .command(
    'gateway-stop',
    'Rolling restart of real gateways, with callers that go by the directory',
    {
      seed: SEED,
      processes: { ...COUNT, default: 9 },
      together: { ...COUNT, default: 2 },
      profile: { choices: PROFILE_NAMES, default: 'agnirakshak' as const },
      ratePerSecond: { ...COUNT, describe: 'requests per second, if not those of the profile' },
      freshPart: {
        ...COUNT,
        default: 0,
        describe: 'part of the callers that open a connection for each request',
      },
      addressPrefix: {
        type: 'string',
        default: '127.0.24',
        describe: 'first three numbers of the loopback addresses',
      },
      program: { type: 'string', default: 'platform/dist/bin.js' },
    },
    async ({
      seed,
      processes,
      together,
      profile,
      ratePerSecond,
      freshPart,
      addressPrefix,
      program,
    }) => {
      const options = { seed, processes, together, profile, freshPart, addressPrefix, program };
      const experiment = new GatewayStopExperiment({ ...options, ratePerSecond });
      printResult({ ...options, ...(await experiment.measure()) });
    },
  )
  .command(
    'slots',
    'Ways of sharing slots, side by side',
    { seed: SEED, daemons: { ...COUNT, default: 12 }, secondsPerLoad: { ...COUNT, default: 4 } },
    async (options) => {
      const policies = await new SlotsExperiment(options).measure();
      printResult(Object.fromEntries(policies.map(({ policy, loads }) => [policy, loads])));
    },
  )
  .command(
    'limits',
    'Fleet-wide plan limits, whole and split',
    {
      seed: SEED,
      daemons: { ...COUNT, default: 6 },
      limitPerSecond: { ...COUNT, default: 100 },
      seconds: { ...COUNT, default: 8 },
    },
    async (options) => printResult(await new LimitsExperiment(options).measure()),
  )
  .command(
    'configuration',
    'How fast a publication is in force, and that none reverts',
    { seed: SEED, daemons: { ...COUNT, default: 36 }, changes: { ...COUNT, default: 12 } },
    async (options) => printResult(await new ConfigurationExperiment(options).measure()),
  )
  .command(
    'fleet',
    'What control costs a daemon at several sizes of the fleet',
    {
      seed: SEED,
      daemons: { type: 'string', default: '6,18,36' },
      seconds: { ...COUNT, default: 6 },
    },
    async ({ seed, daemons, seconds }) => {
      const sizes = daemons.split(',').map(Number);
      printResult({ daemons: await new FleetExperiment({ seed, sizes, seconds }).measure() });
    },
  )
  .command(
    'tables',
    'What the tables of one daemon cost at the two-year size',
    {
      daemons: { ...COUNT, default: 510 },
      services: { ...COUNT, default: 390 },
      upstreams: { ...COUNT, default: 6900 },
      customers: { ...COUNT, default: 16_000 },
      keys: { ...COUNT, default: 20_000 },
    },
    (options) => printResult(measureTables(options)),
  )
  .command(
    'policies',
    'Ways of placing requests under gray failures, emulated, side by side',
    {
      seed: SEED,
      seconds: { ...COUNT, default: 120 },
      requestsPerSecond: { ...COUNT, default: 130 },
      out: { type: 'string', describe: 'write the plot (SVG) here' },
    },
    async ({ out, ...options }) => {
      const result = new PoliciesExperiment(options).measure();
      if (out !== undefined) await writeFile(out, buildPoliciesSvg(result));
      printResult(result);
    },
  )
  .command(
    'soak',
    'Real gateways, faults from outside drawn from a seed, and the promises judged',
    {
      seed: SEED,
      seeds: { ...COUNT, default: 1, describe: 'how many seeds in a row' },
      seconds: { ...COUNT, default: 30 },
      processes: { ...COUNT, default: 4 },
      program: { type: 'string', default: 'platform/dist/bin.js' },
      network: { type: 'string', default: '127.0.5', describe: 'first numbers of all addresses' },
      logs: { type: 'string', describe: 'folder that keeps what the processes log' },
    },
    async ({ seed, seeds, ...options }) => {
      const results = await runSoaks({ ...options, seed }, seeds);
      printResult({ results });
      process.stdout.write(`${describeSoaks(results)}\n`);
      if (results.some(({ faults }) => faults.length > 0)) process.exitCode = 1;
    },
  )
  .demandCommand(1)
  .strict()
  .parseAsync();
process.exit();
