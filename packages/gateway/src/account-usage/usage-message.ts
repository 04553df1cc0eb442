/**
 * The datagram in which a daemon reports what it has admitted of the requests of client accounts.
 */
import {
  buildTolerantList,
  countField,
  counterField,
  dateField,
  nameField,
} from '@baobabline/core';
import type { AccountUsage, FleetUsage } from '@baobabline/core';
import * as z from 'zod';

import { formatBody, parseBody } from '../datagrams/index.js';

export type ReportedUsage = AccountUsage & {
  /** Hash of the account's name. */
  readonly account: number;
};

export type UsageReport = {
  readonly senderId: string;
  /** Differs between starts of the sender, and increases. */
  readonly startId: number;
  /** Time in milliseconds since the sender started. */
  readonly ageMs: number;
  /** Increases with each report of a start. */
  readonly sequence: number;
  /** Whether the sender does not know how many tokens are left. */
  readonly isLearning: boolean;
  /** Number of daemons to which the sender reports. */
  readonly recipientCount: number;
  readonly usages: readonly ReportedUsage[];
};

/** More rows than fit into a datagram. */
const MAX_ROWS = 1000;
/** Demand, tokens and rates are sent in whole tenths. */
const UNIT = 10;
const MAX_TENTHS = 2 ** 40;

const tenthsField = z.int().min(-MAX_TENTHS).max(MAX_TENTHS);

const fleetSchema = z.tuple([
  tenthsField,
  tenthsField.nonnegative(),
  countField,
  tenthsField.nonnegative(),
]);

const rowSchema = z.tuple([
  countField,
  counterField,
  tenthsField.nonnegative(),
  fleetSchema.nullable(),
]);

const messageSchema = z.tuple([
  nameField,
  dateField,
  counterField,
  counterField,
  z.boolean(),
  countField,
  buildTolerantList(rowSchema, MAX_ROWS),
]);

function formatFleet(fleet: FleetUsage | undefined): z.infer<typeof fleetSchema> | null {
  if (!fleet) return null;
  const { tokens, demand, activeDaemons, ratePerSecond } = fleet;
  return [
    Math.floor(tokens * UNIT),
    Math.ceil(demand * UNIT),
    activeDaemons,
    Math.round(ratePerSecond * UNIT),
  ];
}

function parseFleet(row: z.infer<typeof fleetSchema> | null): FleetUsage | undefined {
  if (!row) return undefined;
  const [tokens, demand, activeDaemons, rate] = row;
  return {
    tokens: tokens / UNIT,
    demand: demand / UNIT,
    activeDaemons,
    ratePerSecond: rate / UNIT,
  };
}

/** Formats a report as the body of a datagram. */
export function formatUsageReport(report: UsageReport): Buffer {
  const { senderId, startId, ageMs, sequence, isLearning, recipientCount, usages } = report;
  const rows = usages.map(({ account, count, demand, fleet }) => [
    account,
    count,
    Math.ceil(demand * UNIT),
    formatFleet(fleet),
  ]);
  return formatBody([
    senderId,
    startId,
    Math.round(ageMs),
    sequence,
    isLearning,
    recipientCount,
    rows,
  ]);
}

/** Parses the body of a datagram; undefined if it is not a valid report. */
export function parseUsageReport(body: Buffer): UsageReport | undefined {
  const parsed = parseBody(body, messageSchema);
  if (!parsed) return undefined;
  const [senderId, startId, ageMs, sequence, isLearning, recipientCount, rows] = parsed;
  const usages = rows.map(([account, count, demand, fleet]) => ({
    account,
    count,
    demand: demand / UNIT,
    fleet: parseFleet(fleet),
  }));
  return { senderId, startId, ageMs, sequence, isLearning, recipientCount, usages };
}
