/**
 * Computes how many bytes of requests and answers a daemon may hold on a VM of known memory.
 */

/**
 * What the process takes beside the bodies that it holds, in megabytes. Measured on a daemon with 150
 * requests per second: 118 MiB resident without large answers, and 223 to 227 MiB with 96 MiB held, thus
 * up to 137 MB beside them; the rest is headroom.
 */
const PROCESS_MEGABYTES = 160;
/** A daemon that cannot hold one answer of the largest size serves no caller that asks for it. */
const MIN_HELD_BYTES = 8 * 1024 * 1024;
const BYTES_PER_MEGABYTE = 1_000_000;

type MemorySettings = {
  readonly maxHeldBytes: number;
  readonly machine: { readonly memoryMegabytes?: number | undefined };
};

/** Returns the configured bound, or less where the VM has not enough memory for it. */
export function computeMaxHeldBytes({ maxHeldBytes, machine }: MemorySettings): number {
  const { memoryMegabytes } = machine;
  if (memoryMegabytes === undefined) return maxHeldBytes;
  const affordable = (memoryMegabytes - PROCESS_MEGABYTES) * BYTES_PER_MEGABYTE;
  return Math.min(maxHeldBytes, Math.max(MIN_HELD_BYTES, affordable));
}
