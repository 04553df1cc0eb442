/**
 * Reads on what a caller still sends after its request was refused. A connection that is closed
 * with unread bytes is reset, and the reset can overtake the refusal.
 */
import type { IncomingMessage } from 'node:http';

export type DiscardLimits = {
  /** Bytes after which the connection is cut all the same. */
  readonly maxBytes: number;
  readonly maxMs: number;
};

/** Several times the body limits in use: who sends more does not look at answers. */
const DEFAULT_LIMITS: DiscardLimits = { maxBytes: 256 * 1024 * 1024, maxMs: 10_000 };

/** Discards the rest of a request's body; cuts the connection where it exceeds the limits. */
export function dropBody(
  message: IncomingMessage,
  { maxBytes, maxMs }: DiscardLimits = DEFAULT_LIMITS,
): void {
  if (message.complete) return;
  let bytes = 0;
  const cut = (): void => {
    message.socket.destroy();
  };
  const timer = setTimeout(cut, maxMs);
  timer.unref();
  message.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) cut();
  });
  message.once('end', () => clearTimeout(timer));
  message.once('close', () => clearTimeout(timer));
  message.resume();
}
