/**
 * The two deployments of today as the experiments build them: services, instances, slots, plans
 * and kinds of work.
 */
import type { Customer, Plan } from '@baobabline/core';
import type { WorkKind } from '@baobabline/stand-ins';

export const DEPLOYMENT_NAMES = ['agnirakshak', 'manequins'] as const;

export type DeploymentName = (typeof DEPLOYMENT_NAMES)[number];

export type ServiceSize = {
  readonly service: string;
  readonly instances: number;
  readonly slots: number;
  readonly kinds: readonly WorkKind[];
};

export type Deployment = {
  readonly name: DeploymentName;
  readonly dataCentres: readonly string[];
  readonly services: readonly ServiceSize[];
  readonly plans: readonly Plan[];
  readonly customers: readonly Customer[];
};

const READ: WorkKind = { name: 'read', medianMs: 40, sigma: 0.5 };
const BOOK: WorkKind = { name: 'book', medianMs: 60, sigma: 0.5 };
const CUSTOMER_COUNT = 40;
const MAX_BODY_BYTES = 8 * 1024 * 1024;
const UNLIMITED_RATE = 100_000;

type Caution = { readonly detectionWeight: number; readonly falseEjectionWeight: number };

function createPlan(services: readonly ServiceSize[], caution: Caution): Plan {
  return {
    id: 'standard',
    ratePerSecond: UNLIMITED_RATE,
    burst: UNLIMITED_RATE,
    share: 1,
    services: services.map(({ service, instances, slots }) => ({
      name: service,
      kinds: [
        { name: READ.name, weight: 1, repeatable: true },
        { name: BOOK.name, weight: 2, repeatable: false },
      ],
      floorSlots: Math.ceil((instances * slots * 2) / 3),
      maxBodyBytes: MAX_BODY_BYTES,
      ...caution,
    })),
  };
}

function createCustomers(prefix: string): readonly Customer[] {
  return Array.from({ length: CUSTOMER_COUNT }, (_, index) => ({
    id: `${prefix}-${index}`,
    plan: 'standard',
  }));
}

const AGNIRAKSHAK_SERVICES: readonly ServiceSize[] = [
  { service: 'visit-desk', instances: 20, slots: 3, kinds: [READ, BOOK] },
  { service: 'record-vault', instances: 6, slots: 3, kinds: [READ, BOOK] },
];

const MANEQUINS_SERVICES: readonly ServiceSize[] = [
  { service: 'catalogue', instances: 25, slots: 2, kinds: [READ, BOOK] },
  { service: 'atelier', instances: 6, slots: 2, kinds: [READ, BOOK] },
];

const DEPLOYMENTS: Readonly<Record<DeploymentName, Deployment>> = {
  agnirakshak: {
    name: 'agnirakshak',
    dataCentres: ['gj-1', 'gj-2', 'gj-3'],
    services: AGNIRAKSHAK_SERVICES,
    plans: [createPlan(AGNIRAKSHAK_SERVICES, { detectionWeight: 2, falseEjectionWeight: 1 })],
    customers: createCustomers('society'),
  },
  manequins: {
    name: 'manequins',
    dataCentres: ['pt-1', 'pt-2', 'pt-3'],
    services: MANEQUINS_SERVICES,
    plans: [createPlan(MANEQUINS_SERVICES, { detectionWeight: 1, falseEjectionWeight: 4 })],
    customers: createCustomers('boutique'),
  },
};

export function getDeployment(name: DeploymentName): Deployment {
  return DEPLOYMENTS[name];
}
