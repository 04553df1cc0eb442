/**
 * Ways of placing requests, side by side.
 */
import type { RandomSource } from '@baobabline/core';

import { CountsPolicy } from './counts-policy.js';
import { LeastLoadedPolicy } from './least-loaded-policy.js';
import { RiskPolicy } from './risk-policy.js';
import type { PlacementPolicy } from './types.js';

export const POLICY_NAMES = ['least-loaded', 'counts', 'risk'] as const;
export type PolicyName = (typeof POLICY_NAMES)[number];

export function createPolicy(name: PolicyName, random: RandomSource): PlacementPolicy {
  const policies = {
    'least-loaded': LeastLoadedPolicy,
    counts: CountsPolicy,
    risk: RiskPolicy,
  } as const;
  return new policies[name](random);
}
