/**
 * Counts requests from their head on until the last byte of the reply has been taken or the other
 * side has gone. A request is open while its body still comes in, and it is not over when its answer
 * is known: a slow reader may still be on it.
 */
import type { FastifyInstance, FastifyReply } from 'fastify';
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

export class OpenReplies {
  readonly #bySocket = new Map<Socket, Set<ServerResponse>>();

  get count(): number {
    return [...this.#bySocket.values()].reduce((sum, replies) => sum + replies.size, 0);
  }

  /** Counts the requests of an app, or of a scope of one, from now on. */
  watch(app: FastifyInstance): void {
    app.addHook('onRequest', async (_request, reply) => this.#add(reply));
  }

  /** Whether a request is whole and the only one of its connection, which may end with its reply. */
  isLast({ raw, request }: FastifyReply): boolean {
    const { complete, socket } = request.raw;
    const replies = this.#bySocket.get(socket);
    return complete && replies?.size === 1 && replies.has(raw);
  }

  #add({ raw, request }: FastifyReply): void {
    const replies = this.#getReplies(request.raw.socket);
    replies.add(raw);
    raw.once('close', () => replies.delete(raw));
  }

  /** Where a connection ends, a reply that waits behind another one of it gets no event of its own. */
  #getReplies(socket: Socket): Set<ServerResponse> {
    const known = this.#bySocket.get(socket);
    if (known) return known;
    const replies = new Set<ServerResponse>();
    this.#bySocket.set(socket, replies);
    socket.once('close', () => this.#bySocket.delete(socket));
    return replies;
  }
}
