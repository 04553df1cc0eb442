/**
 * The era of the store in which a daemon's lease was proven, as its answers state it: they list the eras
 * up to that one. A daemon that knows of a later restore has no proof of it yet.
 */
import type { ConfigurationPosition, EraStarts } from '../replication/index.js';

/** Lists the eras up to the proven one; undefined if none is, or none of these. */
export function listErasUntil(
  eras: EraStarts,
  provenEra: number | undefined,
): EraStarts | undefined {
  if (provenEra === undefined) return undefined;
  const proven = eras.filter(([era]) => era <= provenEra);
  return proven.length > 0 || eras.length === 0 ? proven : undefined;
}

export function computeProvenEra({ era, eras }: ConfigurationPosition): number {
  return eras.length === 0 ? era : Math.max(...eras.map(([one]) => one));
}
