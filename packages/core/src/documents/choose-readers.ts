/**
 * Chooses the daemons that watch the platform's services for new documents: two in each data
 * centre, whatever the size of the fleet. A daemon that gets no news of publications for some time
 * reads the services itself after a random delay, so that the fleet stays within the platform's
 * read budget.
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
 * Draws the delay in milliseconds until a daemon that is not a reader reads the services itself. If
 * all daemons of the fleet do so, they make about `fleetReadsPerSecond` reads per second together.
 */
export function drawFallbackDelayMs(
  daemonCount: number,
  fleetReadsPerSecond: number,
  random: RandomSource,
): number {
  const meanMs = (daemonCount / fleetReadsPerSecond) * 1000;
  return meanMs * (0.5 + random.next());
}
