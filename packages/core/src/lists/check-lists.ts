/**
 * Decides whether published lists may enter force. All faults are reported at once, each with
 * the field, the value and what is allowed.
 */
import type { z } from 'zod';

import { listsSchema, vmListSchema } from './schemas.js';
import type { Customer, Lists, Plan, VmList } from './types.js';

export type Fault = {
  /** Path of the field, such as `plans.0.services.1.floorSlots`. */
  readonly field: string;
  readonly value: string;
  readonly allowed: string;
};

export type Checked<Value> =
  | { readonly ok: true; readonly value: Value }
  | { readonly ok: false; readonly faults: readonly Fault[] };

const MAX_VALUE_TEXT_LENGTH = 80;

function formatValue(value: unknown): string {
  const text = JSON.stringify(value) ?? 'missing';
  return text.length <= MAX_VALUE_TEXT_LENGTH ? text : `${text.slice(0, MAX_VALUE_TEXT_LENGTH)}…`;
}

function findValue(root: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, key) => (value as Readonly<Record<PropertyKey, unknown>> | undefined)?.[key],
    root,
  );
}

/** Turns the faults of a zod check into the form that operators read. */
export function listFaults(root: unknown, error: z.ZodError): readonly Fault[] {
  return error.issues.map((issue) => ({
    field: issue.path.join('.') || '(root)',
    value: formatValue(findValue(root, issue.path)),
    allowed: issue.message,
  }));
}

/** Writes a fault as one line. */
export function formatFault(fault: Fault): string {
  return `${fault.field}: ${fault.value} is not allowed: ${fault.allowed}`;
}

/** Checks a value against a schema and lists all faults. */
export function checkShape<Value>(schema: z.ZodType<Value>, value: unknown): Checked<Value> {
  const result = schema.safeParse(value);
  if (result.success) return { ok: true, value: result.data };
  return { ok: false, faults: listFaults(value, result.error) };
}

function findRepeated(names: readonly string[]): readonly number[] {
  const firstIndex = new Map<string, number>();
  names.forEach((name, index) => {
    if (!firstIndex.has(name)) firstIndex.set(name, index);
  });
  return names.flatMap((name, index) => (firstIndex.get(name) === index ? [] : [index]));
}

function checkUnique(field: string, names: readonly string[]): readonly Fault[] {
  return findRepeated(names).map((index) => ({
    field: `${field}.${index}`,
    value: formatValue(names[index]),
    allowed: 'each name may stand once',
  }));
}

function checkPlan(plan: Plan, index: number): readonly Fault[] {
  const field = `plans.${index}`;
  const heaviest = Math.max(
    ...plan.services.flatMap((service) => service.kinds.map((kind) => kind.weight)),
  );
  const burstFaults =
    plan.burst >= heaviest
      ? []
      : [
          {
            field: `${field}.burst`,
            value: formatValue(plan.burst),
            allowed: `at least ${heaviest}, the weight of the heaviest kind`,
          },
        ];
  return [
    ...burstFaults,
    ...checkUnique(
      `${field}.services`,
      plan.services.map((service) => service.name),
    ),
    ...plan.services.flatMap((service, serviceIndex) =>
      checkUnique(
        `${field}.services.${serviceIndex}.kinds`,
        service.kinds.map((kind) => kind.name),
      ),
    ),
  ];
}

function checkCustomers(customers: readonly Customer[], plans: readonly Plan[]): readonly Fault[] {
  const planIds = new Set(plans.map((plan) => plan.id));
  return customers.flatMap((customer, index) =>
    planIds.has(customer.plan)
      ? []
      : [
          {
            field: `customers.${index}.plan`,
            value: formatValue(customer.plan),
            allowed: 'the id of a plan in the list of plans',
          },
        ],
  );
}

/** Checks the two lists, shape first, then what ties them together. */
export function checkLists(value: unknown): Checked<Lists> {
  const shape = checkShape(listsSchema, value);
  if (!shape.ok) return shape;
  const { customers, plans } = shape.value;
  const faults = [
    ...checkUnique(
      'customers',
      customers.map((customer) => customer.id),
    ),
    ...checkUnique(
      'plans',
      plans.map((plan) => plan.id),
    ),
    ...plans.flatMap(checkPlan),
    ...checkCustomers(customers, plans),
  ];
  return faults.length === 0 ? shape : { ok: false, faults };
}

/** Checks a VM list. */
export function checkVmList(value: unknown): Checked<VmList> {
  const shape = checkShape(vmListSchema, value);
  if (!shape.ok) return shape;
  const faults = checkUnique(
    'upstreams',
    shape.value.upstreams.map((upstream) => upstream.id),
  );
  return faults.length === 0 ? shape : { ok: false, faults };
}
