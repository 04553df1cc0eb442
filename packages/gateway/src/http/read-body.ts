/**
 * Reads the whole body of a request, up to a size limit, and computes its digest as it comes in.
 */
import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

import { BodyBuffer } from '../held-bytes/index.js';

export type BodyEnd =
  | {
      readonly kind: 'whole';
      readonly chunks: readonly Buffer[];
      readonly bytes: number;
      /** SHA-256 of the body in base64url; empty where it has no bytes. */
      readonly digest: string;
    }
  | { readonly kind: 'too-large' }
  /** There was no room for more of it. */
  | { readonly kind: 'no-room' }
  | { readonly kind: 'cut' };

/**
 * Reads the body; calls `onEnd` exactly once with the result. `acquire` is asked for each further
 * block of memory, in bytes, and may refuse it.
 */
export function readBody(
  message: IncomingMessage,
  maxBytes: number,
  onEnd: (end: BodyEnd) => void,
  acquire: (bytes: number) => boolean = () => true,
): void {
  let hasRoom = true;
  /** Undefined once the body has ended, as the rest of the message may still come for long. */
  let body: BodyBuffer | undefined = new BodyBuffer((size) => {
    hasRoom = hasRoom && acquire(size);
  });
  let hash: Hash | undefined;
  const finish = (end: BodyEnd): void => {
    if (!body) return;
    body = undefined;
    onEnd(end);
  };
  message.on('data', (chunk: Buffer) => {
    if (!body) return;
    if (body.bytes + chunk.length > maxBytes) {
      finish({ kind: 'too-large' });
      return;
    }
    body.add(chunk);
    if (!hasRoom) {
      finish({ kind: 'no-room' });
      return;
    }
    hash = (hash ?? createHash('sha256')).update(chunk);
  });
  message.once('end', () => {
    if (!body) return;
    const digest = hash?.digest('base64url') ?? '';
    finish({ kind: 'whole', chunks: body.finish(), bytes: body.bytes, digest });
  });
  message.once('error', () => finish({ kind: 'cut' }));
  message.once('close', () => finish({ kind: 'cut' }));
}
