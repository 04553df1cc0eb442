/**
 * Reviews a configuration that daemons could decode, before operators publish it.
 */
import type { RoutingConfiguration } from '../routes/index.js';
import { listContradictions } from './list-contradictions.js';
import { listDeadEntries } from './list-dead-entries.js';
import { listDifferences } from './list-differences.js';
import type { ConfigurationReview, Finding } from './types.js';

/** Routes keep their state by name, so that two routes of one name would share it. */
function listDuplicateRoutes({ routes }: RoutingConfiguration): readonly Finding[] {
  const ids = routes.map(({ id }) => id);
  const duplicates = new Set(ids.filter((id, index) => ids.indexOf(id) !== index));
  return [...duplicates].map((id) => ({
    kind: 'contradiction',
    place: `route ${id}`,
    message: 'several routes have this name, and share its statistics and the state of its split',
  }));
}

/** Only the version orders configurations: one that is not higher never enters force. */
function listVersionErrors(
  inForce: RoutingConfiguration,
  { version }: RoutingConfiguration,
  hasDifferences: boolean,
): readonly Finding[] {
  if (!hasDifferences || version > inForce.version) return [];
  const message = `version ${version} would never enter force, as ${inForce.version} is in force`;
  return [{ kind: 'error', place: 'configuration', message }];
}

/** `inForce` is the configuration to compare with, if there is one. */
export function judgeConfiguration(
  configuration: RoutingConfiguration,
  inForce: RoutingConfiguration | undefined,
  quotaWindowMs: number,
): ConfigurationReview {
  const differences = inForce ? listDifferences(inForce, configuration) : [];
  const findings = [
    ...(inForce ? listVersionErrors(inForce, configuration, differences.length > 0) : []),
    ...listDuplicateRoutes(configuration),
    ...listDeadEntries(configuration),
    ...listContradictions(configuration, quotaWindowMs),
  ];
  return { findings, differences };
}
