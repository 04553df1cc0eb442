/**
 * JSON log lines through consola. Routing decisions may be sampled; events never are. Bodies,
 * keys of customers and certificates are never passed in here.
 */
import type { RandomSource } from '@baobabline/core';
import { createConsola, LogLevels } from 'consola';
import type { ConsolaInstance, LogObject } from 'consola';

import type { Settings } from '../settings/index.js';
import { systemClock } from './clock.js';
import type { LineClass } from './line-budget.js';
import { LineWriter } from './line-writer.js';

export type LogSettings = Pick<Settings, 'id' | 'logs'>;

export type LogFields = Readonly<Record<string, unknown>>;

export type Log = {
  readonly error: (event: string, fields?: LogFields) => void;
  readonly warn: (event: string, fields?: LogFields) => void;
  readonly info: (event: string, fields?: LogFields) => void;
  /** Whether the next decision is to be logged; asked before its fields are gathered. */
  readonly shouldLogDecision: () => boolean;
  /** Logs a decision; under load, those about requests that fail are kept before others. */
  readonly decision: (decision: string, fields: LogFields, lineClass?: LineClass) => void;
};

type LogArguments = readonly [string, LogFields | undefined, LineClass | undefined];

type LineHead = { readonly date: Date; readonly type: string };

function formatLine(
  daemonId: string,
  { date, type }: LineHead,
  [event, fields]: readonly unknown[],
): string {
  const head = { time: date.toISOString(), level: type, daemon: daemonId, event };
  return JSON.stringify({ ...head, ...(fields as LogFields | undefined) });
}

function printLine(writer: LineWriter, daemonId: string, entry: LogObject): void {
  const [event, fields, lineClass = 'kept'] = entry.args as unknown as LogArguments;
  writer.write(formatLine(daemonId, entry, [event, fields]), lineClass);
}

function createReporter({ id, logs }: LogSettings): ConsolaInstance {
  const writer = new LineWriter({
    output: process.stdout,
    clock: systemClock,
    maxLinesPerSecond: logs.maxLinesPerSecond,
    buildReport: (count) =>
      formatLine(id, { date: new Date(), type: 'warn' }, ['log-lines-left-out', { count }]),
  });
  return createConsola({
    throttle: 0,
    reporters: [{ log: (entry) => printLine(writer, id, entry) }],
  });
}

/** Creates the daemon's log. */
export function createLog(settings: LogSettings, random: RandomSource): Log {
  const { level, decisionSampling } = settings.logs;
  const reporter = createReporter(settings);
  reporter.level = LogLevels[level];
  const logsInfo = reporter.level >= LogLevels.info;
  return {
    error: (event, fields) => reporter.error(event, fields),
    warn: (event, fields) => reporter.warn(event, fields),
    info: (event, fields) => reporter.info(event, fields),
    shouldLogDecision: () => logsInfo && random.next() < decisionSampling,
    decision: (decision, fields, lineClass = 'ordinary') =>
      reporter.info(decision, fields, lineClass),
  };
}
