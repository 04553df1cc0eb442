/**
 * JSON log lines through consola. Routing decisions may be sampled; events never are. Bodies,
 * keys of customers and certificates are never passed in here.
 */
import type { RandomSource } from '@baobabline/core';
import { createConsola, LogLevels } from 'consola';
import type { ConsolaInstance, LogObject } from 'consola';

import type { Settings } from '../settings/index.js';
import { LineWriter } from './line-writer.js';

export type LogFields = Readonly<Record<string, unknown>>;

export type Log = {
  readonly error: (event: string, fields?: LogFields) => void;
  readonly warn: (event: string, fields?: LogFields) => void;
  readonly info: (event: string, fields?: LogFields) => void;
  /** Whether the next decision is to be logged; asked before its fields are gathered. */
  readonly shouldLogDecision: () => boolean;
  readonly decision: (decision: string, fields: LogFields) => void;
};

type LogArguments = readonly [string, LogFields | undefined];

function printLine(writer: LineWriter, daemonId: string, entry: LogObject): void {
  const [event, fields] = entry.args as unknown as LogArguments;
  const line = {
    time: entry.date.toISOString(),
    level: entry.type,
    daemon: daemonId,
    event,
    ...fields,
  };
  writer.write(JSON.stringify(line));
}

function createReporter(daemonId: string): ConsolaInstance {
  const writer = new LineWriter();
  return createConsola({
    throttle: 0,
    reporters: [{ log: (entry) => printLine(writer, daemonId, entry) }],
  });
}

/** Creates the daemon's log. */
export function createLog(settings: Pick<Settings, 'id' | 'logs'>, random: RandomSource): Log {
  const { level, decisionSampling } = settings.logs;
  const reporter = createReporter(settings.id);
  reporter.level = LogLevels[level];
  const logsInfo = reporter.level >= LogLevels.info;
  return {
    error: (event, fields) => reporter.error(event, fields),
    warn: (event, fields) => reporter.warn(event, fields),
    info: (event, fields) => reporter.info(event, fields),
    shouldLogDecision: () => logsInfo && random.next() < decisionSampling,
    decision: (decision, fields) => reporter.info(decision, fields),
  };
}
