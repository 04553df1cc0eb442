/**
 * The datagram in which a daemon reports what it has admitted of the requests of client accounts.
 */
import {
  buildTolerantList,
  countField,
  counterField,
  dateField,
  ipAddressField,
  nameField,
} from '@baobabline/core';
import type { AccountUsage } from '@baobabline/core';
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
  /** Addresses of daemons that reported to the sender and are no dispatchers. */
  readonly reporters: readonly string[];
  readonly usages: readonly ReportedUsage[];
};

/** More rows than fit into a datagram. */
const MAX_ROWS = 1000;
/** Demand and tokens are sent in whole tenths. */
const UNIT = 10;
const MAX_TENTHS = 2 ** 40;

const tenthsField = z.int().min(-MAX_TENTHS).max(MAX_TENTHS);

const rowSchema = z.tuple([
  countField,
  counterField,
  tenthsField.nonnegative(),
  tenthsField.nullable(),
]);

const messageSchema = z.tuple([
  nameField,
  dateField,
  counterField,
  counterField,
  z.boolean(),
  buildTolerantList(ipAddressField, MAX_ROWS),
  buildTolerantList(rowSchema, MAX_ROWS),
]);

function convertToTenths(value: number): number {
  return Math.max(-MAX_TENTHS, Math.min(MAX_TENTHS, Math.floor(value * UNIT)));
}

/** Formats a report as the body of a datagram. */
export function formatUsageReport(report: UsageReport): Buffer {
  const { senderId, startId, ageMs, sequence, isLearning, reporters, usages } = report;
  const rows = usages.map(({ account, count, demand, tokens }) => [
    account,
    count,
    Math.ceil(demand * UNIT),
    tokens === undefined ? null : convertToTenths(tokens),
  ]);
  return formatBody([senderId, startId, Math.round(ageMs), sequence, isLearning, reporters, rows]);
}

/** Parses the body of a datagram; undefined if it is not a valid report. */
export function parseUsageReport(body: Buffer): UsageReport | undefined {
  const parsed = parseBody(body, messageSchema);
  if (!parsed) return undefined;
  const [senderId, startId, ageMs, sequence, isLearning, reporters, rows] = parsed;
  const usages = rows.map(([account, count, demand, tokens]) => ({
    account,
    count,
    demand: demand / UNIT,
    tokens: tokens === null ? undefined : tokens / UNIT,
  }));
  return { senderId, startId, ageMs, sequence, isLearning, reporters, usages };
}
