/**
 * How experiments report: progress on standard error, one JSON object as the last line of
 * standard output.
 */
import process from 'node:process';

export { setTimeout as wait } from 'node:timers/promises';

export function printProgress(text: string): void {
  process.stderr.write(`${text}\n`);
}

export function printResult(result: Readonly<Record<string, unknown>>): void {
  process.stdout.write(`${JSON.stringify(result)}\n`);
}

/** Computes a quantile (0 to 1) of figures by nearest rank; undefined for none. */
export function computeQuantile(figures: readonly number[], quantile: number): number | undefined {
  const sorted = [...figures].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.ceil(quantile * sorted.length) - 1)];
}

/** Runs steps one after the other. */
export async function runInTurn<Item, Result>(
  items: readonly Item[],
  run: (item: Item, index: number) => Promise<Result>,
): Promise<readonly Result[]> {
  return items.reduce<Promise<readonly Result[]>>(
    async (earlier, item, index) => [...(await earlier), await run(item, index)],
    Promise.resolve([]),
  );
}
