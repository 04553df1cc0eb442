/**
 * Counts replies until the last byte has been taken or the other side has gone. A request is not
 * over when its answer is known: a slow reader may still be on it.
 */
import type { FastifyReply } from 'fastify';

export class OpenReplies {
  #count = 0;

  get count(): number {
    return this.#count;
  }

  add(reply: FastifyReply): void {
    this.#count += 1;
    reply.raw.once('close', () => {
      this.#count -= 1;
    });
  }
}
