/**
 * A gossip exchange as rows: the sender, and the members that it reports.
 */
import type { ExchangeAnswer } from '@baobabline/daemon';
import * as z from 'zod';

import { formatMember, memberRowSchema, parseMember } from './member-row.js';

export const exchangeRowsSchema = z.tuple([memberRowSchema, z.array(memberRowSchema)]);

export type ExchangeRows = z.infer<typeof exchangeRowsSchema>;

export function formatExchange({ from, updates }: ExchangeAnswer): ExchangeRows {
  return [formatMember(from), updates.map(formatMember)];
}

export function parseExchange([from, rows]: ExchangeRows): ExchangeAnswer {
  return { from: parseMember(from), updates: rows.map(parseMember), versions: [] };
}
