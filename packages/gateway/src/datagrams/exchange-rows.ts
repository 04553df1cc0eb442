/**
 * A gossip exchange as rows: the sender, and the members that it reports.
 */
import { buildTolerantList, MAX_MEMBERS } from '@baobabline/core';
import type { ExchangeAnswer } from '@baobabline/daemon';
import * as z from 'zod';

import { formatMember, memberRowSchema, parseMember } from './member-row.js';

/** A row that cannot be used is left out; the members of the other rows hold. */
export const exchangeRowsSchema = z.tuple([
  memberRowSchema,
  buildTolerantList(memberRowSchema, MAX_MEMBERS),
]);

export type ExchangeRows = z.infer<typeof exchangeRowsSchema>;

export function formatExchange({ from, updates }: ExchangeAnswer): ExchangeRows {
  return [formatMember(from), updates.map(formatMember)];
}

export function parseExchange([from, rows]: ExchangeRows): ExchangeAnswer {
  return { from: parseMember(from), updates: rows.map(parseMember), versions: [] };
}
