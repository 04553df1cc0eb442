/**
 * Reads the whole body of a request, up to a size limit. Chunks are kept as received, not joined.
 */
import type { IncomingMessage } from 'node:http';

export type BodyEnd =
  | { readonly kind: 'whole'; readonly chunks: readonly Buffer[]; readonly bytes: number }
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
  let isEnded = false;
  const finish = (end: BodyEnd): void => {
    if (isEnded) return;
    isEnded = true;
    onEnd(end);
  };
  message.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) finish({ kind: 'too-large' });
    else chunks.push(chunk);
  });
  message.once('end', () => finish({ kind: 'whole', chunks, bytes }));
  message.once('error', () => finish({ kind: 'cut' }));
  message.once('close', () => finish({ kind: 'cut' }));
}
