/**
 * The procedures that gateway daemons call on each other, over trpc.
 */
import { exchangeSchema, probeSchema } from '@baobabline/daemon';
import type { ExchangeAnswer, ExchangeMessage, ProbeRequest } from '@baobabline/daemon';
import { initTRPC } from '@trpc/server';

export type PeerHandlers = {
  readonly exchange: (message: ExchangeMessage) => ExchangeAnswer;
  readonly probe: (target: ProbeRequest) => Promise<boolean>;
};

const trpc = initTRPC.create();

/** Creates the router over the daemon's handlers. */
export function createPeerRouter(handlers: PeerHandlers) {
  return trpc.router({
    exchange: trpc.procedure
      .input(exchangeSchema)
      .mutation(({ input }) => handlers.exchange(input)),
    probe: trpc.procedure.input(probeSchema).mutation(({ input }) => handlers.probe(input)),
  });
}

export type GatewayPeerRouter = ReturnType<typeof createPeerRouter>;
