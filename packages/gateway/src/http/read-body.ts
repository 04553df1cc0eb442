/**
 * Reads the whole body of a request, up to a size limit, and computes its digest as it comes in. Chunks
 * are kept as received, not joined.
 */
import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

export type BodyEnd =
  | {
      readonly kind: 'whole';
      readonly chunks: readonly Buffer[];
      readonly bytes: number;
      /** SHA-256 of the body in base64url; empty where it has no bytes. */
      readonly digest: string;
    }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'cut' };

/** Reads the body; calls `onEnd` exactly once with the result. */
export function readBody(
  message: IncomingMessage,
  maxBytes: number,
  onEnd: (end: BodyEnd) => void,
): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  let hash: Hash | undefined;
  let isEnded = false;
  const finish = (end: BodyEnd): void => {
    if (isEnded) return;
    isEnded = true;
    onEnd(end);
  };
  message.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      finish({ kind: 'too-large' });
      return;
    }
    chunks.push(chunk);
    hash = (hash ?? createHash('sha256')).update(chunk);
  });
  message.once('end', () =>
    finish({ kind: 'whole', chunks, bytes, digest: hash?.digest('base64url') ?? '' }),
  );
  message.once('error', () => finish({ kind: 'cut' }));
  message.once('close', () => finish({ kind: 'cut' }));
}
