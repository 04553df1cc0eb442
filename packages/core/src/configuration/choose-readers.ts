/**
 * Which daemons watch the platform's services. Two in each data centre do, whatever the size of
 * the fleet; when a daemon hears of no publication source for a while it reads by itself, with
 * random delays, so that all readers together stay within the platform's budget.
 */
import type { HashText, RandomSource } from '../runtime/index.js';
import { chooseAcrossDataCentres } from '../routing/index.js';
import type { DaemonLocation } from '../routing/index.js';

const READERS_PER_DATA_CENTRE = 2;

/** Chooses the readers among the daemons of one data centre. */
export function chooseReaders<Item extends DaemonLocation>(
  dataCentre: string,
  daemons: readonly Item[],
  hash: HashText,
): readonly Item[] {
  const local = daemons.filter((daemon) => daemon.dataCentre === dataCentre);
  return chooseAcrossDataCentres(`readers|${dataCentre}`, local, READERS_PER_DATA_CENTRE, hash);
}

/**
 * Draws the milliseconds until a daemon that is no reader reads by itself: with so many daemons
 * waiting, the fleet together makes about `fleetReadsPerSecond` reads a second.
 */
export function drawFallbackDelayMs(
  daemonCount: number,
  fleetReadsPerSecond: number,
  random: RandomSource,
): number {
  const meanMs = (daemonCount / fleetReadsPerSecond) * 1000;
  return meanMs * (0.5 + random.next());
}
