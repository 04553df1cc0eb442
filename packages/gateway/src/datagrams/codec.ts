/**
 * Packs and unpacks the bodies of datagrams. Arrays stand in the place of names, since hundreds are
 * sent a second; what comes in is checked by its schema.
 */
import { pack, unpack } from 'msgpackr';
import type * as z from 'zod';

function readPacked(body: Buffer): unknown {
  try {
    return unpack(body);
  } catch {
    // Bytes of anything else on the port: the check of the schema refuses them.
    return undefined;
  }
}

export function formatBody(value: unknown): Buffer {
  return pack(value);
}

/** Reads a body; undefined if it is not what the schema says. */
export function parseBody<Shape extends z.ZodType>(
  body: Buffer,
  schema: Shape,
): z.infer<Shape> | undefined {
  const parsed = schema.safeParse(readPacked(body));
  return parsed.success ? parsed.data : undefined;
}
