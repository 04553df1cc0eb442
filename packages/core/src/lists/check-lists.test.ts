import { expect } from 'chai';

import { checkLists, checkVmList, formatFault, listServicePolicies } from './index.js';
import type { Lists } from './index.js';

const GOOD: Lists = {
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
  it('lets good lists pass', () => {
    expect(checkLists(GOOD).ok).to.equal(true);
  });

  it('names every fault at once, unknown fields among them', () => {
    const [plan] = GOOD.plans;
    const bad = { ...GOOD, version: 0, extra: 1, plans: [{ ...plan, ratePerSecond: -1 }] };
    expect(listFaultFields(bad)).to.include.members(['version', '(root)', 'plans.0.ratePerSecond']);
  });

  it('refuses a customer whose plan is on no list', () => {
    const bad = { ...GOOD, customers: [{ id: 'society-1', plan: 'gold' }] };
    expect(listFaultFields(bad)).to.deep.equal(['customers.0.plan']);
  });

  it('refuses repeated names and a burst below the heaviest kind', () => {
    const [plan] = GOOD.plans;
    const bad = { ...GOOD, plans: [{ ...plan, burst: 0.5 }, plan] };
    expect(listFaultFields(bad)).to.include.members(['plans.1', 'plans.0.burst']);
  });

  it('writes a fault with field, value and what is allowed', () => {
    const checked = checkVmList({ version: 1, upstreams: [{ id: 'UP' }] });
    const lines = checked.ok ? [] : checked.faults.map(formatFault);
    expect(lines[0]).to.match(/^upstreams\.0\.id: "UP" is not allowed: must be/);
  });
});

describe('listServicePolicies', () => {
  it('takes the highest floor and the most careful weights of all plans', () => {
    const [plan] = GOOD.plans;
    const [service] = plan?.services ?? [];
    const careful = { ...service, floorSlots: 10, detectionWeight: 1, falseEjectionWeight: 4 };
    const lists = {
      ...GOOD,
      plans: [...GOOD.plans, { ...plan, id: 'careful', services: [careful] }],
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
