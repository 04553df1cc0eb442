/**
 * The procedures that daemons call on each other, over trpc.
 */
import type { Loan } from '@baobabline/core';
import { initTRPC } from '@trpc/server';

import {
  documentRequestSchema,
  exchangeSchema,
  loanRequestSchema,
  probeSchema,
  reportSchema,
} from './messages.js';
import type {
  DocumentAnswer,
  DocumentRequest,
  ExchangeAnswer,
  ExchangeMessage,
  LoanRequest,
  PeerReport,
  ProbeRequest,
} from './messages.js';

export type PeerHandlers = {
  readonly exchange: (message: ExchangeMessage) => ExchangeAnswer;
  readonly probe: (request: ProbeRequest) => Promise<boolean>;
  readonly fetchDocument: (request: DocumentRequest) => Promise<DocumentAnswer>;
  readonly report: (report: PeerReport) => void;
  readonly lend: (request: LoanRequest) => Loan;
};

const trpc = initTRPC.create();

/** Creates the router over the daemon's handlers. */
export function createPeerRouter(handlers: PeerHandlers) {
  return trpc.router({
    exchange: trpc.procedure
      .input(exchangeSchema)
      .mutation(({ input }) => handlers.exchange(input)),
    probe: trpc.procedure.input(probeSchema).mutation(({ input }) => handlers.probe(input)),
    fetchDocument: trpc.procedure
      .input(documentRequestSchema)
      .mutation(({ input }) => handlers.fetchDocument(input)),
    report: trpc.procedure.input(reportSchema).mutation(({ input }) => handlers.report(input)),
    lend: trpc.procedure.input(loanRequestSchema).mutation(({ input }) => handlers.lend(input)),
  });
}

export type PeerRouter = ReturnType<typeof createPeerRouter>;
