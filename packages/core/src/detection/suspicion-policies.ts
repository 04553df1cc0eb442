/**
 * The suspicion policies that the settings can name.
 */
import { ConsecutiveFailures } from './consecutive-failures.js';
import { PooledSuspicion } from './pooled-suspicion.js';
import type { SuspicionPolicy } from './suspicion-policy.js';

export const SUSPICION_POLICIES = ['pooled', 'consecutive-failures'] as const;

export type SuspicionPolicyName = (typeof SUSPICION_POLICIES)[number];

export function createSuspicionPolicy(name: SuspicionPolicyName): SuspicionPolicy {
  return name === 'pooled' ? new PooledSuspicion() : new ConsecutiveFailures();
}
