/**
 * Merges the rules of all plans that name a service into one policy. The policy has the highest
 * floor of these rules and the weights of the rule that is most cautious about false ejections.
 */
import type { Lists, ServicePolicy, ServiceRule } from './types.js';

/** Cost of a false ejection relative to late detection; a higher value is more cautious. */
function computeCaution(
  rule: Pick<ServiceRule, 'detectionWeight' | 'falseEjectionWeight'>,
): number {
  return rule.falseEjectionWeight / Math.max(rule.detectionWeight, Number.EPSILON);
}

function mergePolicy(policy: ServicePolicy | undefined, rule: ServiceRule): ServicePolicy {
  const { name, floorSlots, detectionWeight, falseEjectionWeight } = rule;
  if (!policy) return { id: name, name, floorSlots, detectionWeight, falseEjectionWeight };
  const cautious = computeCaution(rule) > computeCaution(policy) ? rule : policy;
  return {
    id: name,
    name,
    floorSlots: Math.max(policy.floorSlots, floorSlots),
    detectionWeight: cautious.detectionWeight,
    falseEjectionWeight: cautious.falseEjectionWeight,
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
