import { expect } from 'chai';

import { checkLists, checkVmList, formatFault, listServicePolicies } from './index.js';
import type { Lists } from './index.js';

const VALID_LISTS: Lists = {
  version: 1,
  customers: [{ id: 'society-1', plan: 'standard' }],
  plans: [
    {
      id: 'standard',
      ratePerSecond: 10,
      burst: 20,
      share: 1,
      services: [
        {
          name: 'visit-desk',
          kinds: [{ name: 'read', weight: 1 }],
          floorSlots: 40,
          detectionWeight: 2,
          falseEjectionWeight: 1,
          maxBodyBytes: 1000,
        },
      ],
    },
  ],
};

function listFaultFields(value: unknown): readonly string[] {
  const checked = checkLists(value);
  return checked.ok ? [] : checked.faults.map(({ field }) => field);
}

describe('checkLists', () => {
  it('accepts valid lists', () => {
    expect(checkLists(VALID_LISTS).ok).to.equal(true);
  });

  it('reports all faults at once, including unknown fields', () => {
    const [plan] = VALID_LISTS.plans;
    const bad = { ...VALID_LISTS, version: 0, extra: 1, plans: [{ ...plan, ratePerSecond: -1 }] };
    expect(listFaultFields(bad)).to.include.members(['version', '(root)', 'plans.0.ratePerSecond']);
  });

  it('refuses a customer whose plan is not listed', () => {
    const bad = { ...VALID_LISTS, customers: [{ id: 'society-1', plan: 'gold' }] };
    expect(listFaultFields(bad)).to.deep.equal(['customers.0.plan']);
  });

  it('refuses a repeated plan id and a burst below the largest weight of a kind', () => {
    const [plan] = VALID_LISTS.plans;
    const bad = { ...VALID_LISTS, plans: [{ ...plan, burst: 0.5 }, plan] };
    expect(listFaultFields(bad)).to.include.members(['plans.1', 'plans.0.burst']);
  });

  it('formats a fault with the field, its value and what is allowed', () => {
    const checked = checkVmList({ version: 1, upstreams: [{ id: 'UP' }] });
    const lines = checked.ok ? [] : checked.faults.map(formatFault);
    expect(lines[0]).to.match(/^upstreams\.0\.id: "UP" is not allowed: must be/);
  });
});

describe('listServicePolicies', () => {
  it('uses the highest floor and the weights of the most cautious plan', () => {
    const [plan] = VALID_LISTS.plans;
    const [service] = plan?.services ?? [];
    const careful = { ...service, floorSlots: 10, detectionWeight: 1, falseEjectionWeight: 4 };
    const lists = {
      ...VALID_LISTS,
      plans: [...VALID_LISTS.plans, { ...plan, id: 'careful', services: [careful] }],
    } as Lists;
    expect(listServicePolicies(lists)).to.deep.equal([
      {
        id: 'visit-desk',
        name: 'visit-desk',
        floorSlots: 40,
        detectionWeight: 1,
        falseEjectionWeight: 4,
      },
    ]);
  });
});
