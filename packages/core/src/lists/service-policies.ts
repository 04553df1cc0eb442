/**
 * What holds for a service when several plans name it: the highest floor, and the weights of the
 * plan that is most careful about false ejections.
 */
import type { Lists, ServicePolicy, ServiceRule } from './types.js';

function computeCaution(
  rule: Pick<ServiceRule, 'detectionWeight' | 'falseEjectionWeight'>,
): number {
  return rule.falseEjectionWeight / Math.max(rule.detectionWeight, Number.EPSILON);
}

function mergePolicy(policy: ServicePolicy | undefined, rule: ServiceRule): ServicePolicy {
  const { name, floorSlots, detectionWeight, falseEjectionWeight } = rule;
  if (!policy) return { id: name, name, floorSlots, detectionWeight, falseEjectionWeight };
  const careful = computeCaution(rule) > computeCaution(policy) ? rule : policy;
  return {
    id: name,
    name,
    floorSlots: Math.max(policy.floorSlots, floorSlots),
    detectionWeight: careful.detectionWeight,
    falseEjectionWeight: careful.falseEjectionWeight,
  };
}

/** Lists one policy for each service that any plan names. */
export function listServicePolicies(lists: Lists): readonly ServicePolicy[] {
  const policies = lists.plans
    .flatMap((plan) => plan.services)
    .reduce(
      (merged, rule) => merged.set(rule.name, mergePolicy(merged.get(rule.name), rule)),
      new Map<string, ServicePolicy>(),
    );
  return [...policies.values()];
}
