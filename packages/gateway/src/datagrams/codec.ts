/**
 * Encodes and decodes the bodies of datagrams with msgpack. Bodies are arrays without field names to
 * save bytes, since hundreds are sent per second. Received bodies are validated against a schema.
 */
import { pack, unpack } from 'msgpackr';
import type * as z from 'zod';

function readPacked(body: Buffer): unknown {
  try {
    return unpack(body);
  } catch {
    // The port may receive arbitrary bytes; the schema rejects undefined.
    return undefined;
  }
}

export function formatBody(value: unknown): Buffer {
  return pack(value);
}

/** Decodes a body; undefined if it does not match the schema. */
export function parseBody<Shape extends z.ZodType>(
  body: Buffer,
  schema: Shape,
): z.infer<Shape> | undefined {
  const parsed = schema.safeParse(readPacked(body));
  return parsed.success ? parsed.data : undefined;
}
