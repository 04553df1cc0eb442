/**
 * The ways of judging by name, as the settings have them.
 */
import { ConsecutiveFailures } from './consecutive-failures.js';
import { PooledSuspicion } from './pooled-suspicion.js';
import type { SuspicionPolicy } from './suspicion-policy.js';

export const SUSPICION_POLICIES = ['pooled', 'consecutive-failures'] as const;

export type SuspicionPolicyName = (typeof SUSPICION_POLICIES)[number];

/** Creates the policy with a name. */
export function createSuspicionPolicy(name: SuspicionPolicyName): SuspicionPolicy {
  return name === 'pooled' ? new PooledSuspicion() : new ConsecutiveFailures();
}
