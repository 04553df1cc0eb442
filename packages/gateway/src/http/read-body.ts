/**
 * Reads the body of a request whole, up to a limit. The pieces are kept as they came.
 */
import type { IncomingMessage } from 'node:http';

export type BodyEnd =
  | { readonly kind: 'whole'; readonly chunks: readonly Buffer[]; readonly bytes: number }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'cut' };

/** Reads the body; calls back once with how it ended. */
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
