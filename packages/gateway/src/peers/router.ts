/**
 * The procedures that gateway daemons call on each other, over trpc.
 */
import type { Changes } from '@baobabline/core';
import { exchangeSchema, probeSchema } from '@baobabline/daemon';
import type { ExchangeAnswer, ExchangeMessage, ProbeRequest } from '@baobabline/daemon';
import { initTRPC } from '@trpc/server';

import { followSchema, reportSchema } from './messages.js';
import type { DispatcherReport, FollowRequest } from './messages.js';

export type PeerHandlers = {
  readonly exchange: (message: ExchangeMessage) => ExchangeAnswer;
  readonly probe: (target: ProbeRequest) => Promise<boolean>;
  readonly follow: (request: FollowRequest) => Promise<Changes>;
  readonly report: (report: DispatcherReport) => void;
};

const trpc = initTRPC.create();

/** Creates the router over the daemon's handlers. */
export function createPeerRouter(handlers: PeerHandlers) {
  return trpc.router({
    exchange: trpc.procedure
      .input(exchangeSchema)
      .mutation(({ input }) => handlers.exchange(input)),
    probe: trpc.procedure.input(probeSchema).mutation(({ input }) => handlers.probe(input)),
    follow: trpc.procedure.input(followSchema).mutation(({ input }) => handlers.follow(input)),
    report: trpc.procedure.input(reportSchema).mutation(({ input }) => handlers.report(input)),
  });
}

export type GatewayPeerRouter = ReturnType<typeof createPeerRouter>;
