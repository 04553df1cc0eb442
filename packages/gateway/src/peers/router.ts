/**
 * The procedures that gateway daemons call on each other, over trpc.
 */
import type { Changes, Member } from '@baobabline/core';
import { exchangeSchema, probeSchema } from '@baobabline/daemon';
import type { ExchangeAnswer, ExchangeMessage, ProbeRequest } from '@baobabline/daemon';
import { initTRPC } from '@trpc/server';

import { followSchema } from './messages.js';
import type { FollowRequest } from './messages.js';

/** Changes, and the member that tells them as it is now. */
export type FollowAnswer = { readonly changes: Changes; readonly from: Member };

export type PeerHandlers = {
  readonly exchange: (message: ExchangeMessage) => ExchangeAnswer;
  readonly probe: (target: ProbeRequest) => Promise<boolean>;
  readonly follow: (request: FollowRequest) => Promise<FollowAnswer>;
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
  });
}

export type GatewayPeerRouter = ReturnType<typeof createPeerRouter>;
