/**
 * Validates published lists before they take effect. All faults are reported at once, each with
 * the field, its value and what is allowed.
 */
import type { z } from 'zod';

import { listsSchema, vmListSchema } from './schemas.js';
import type { Customer, Lists, Plan, VmList } from './types.js';

export type ValidationFault = {
  /** Path of the field, such as `plans.0.services.1.floorSlots`. */
  readonly field: string;
  readonly value: string;
  readonly allowed: string;
};

export type ValidationResult<Value> =
  | { readonly ok: true; readonly value: Value }
  | { readonly ok: false; readonly faults: readonly ValidationFault[] };

const MAX_VALUE_TEXT_LENGTH = 80;
/** More faults than an operator reads at once; a broken list of thousands of rows has as many. */
const MAX_FORMATTED_FAULTS = 20;

const UNCOUNTED_FAULTS: ValidationFault = {
  field: '(root)',
  value: 'the value',
  allowed: 'it has too many faults to be listed',
};

/** Undefined for a missing value. */
function formatJson(value: unknown): string | undefined {
  try {
    return JSON.stringify(value);
  } catch {
    return 'a value nested too deeply to be shown';
  }
}

function formatValue(value: unknown): string {
  const text = formatJson(value) ?? 'missing';
  return text.length <= MAX_VALUE_TEXT_LENGTH ? text : `${text.slice(0, MAX_VALUE_TEXT_LENGTH)}…`;
}

function findValueAtPath(root: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, key) => (value as Readonly<Record<PropertyKey, unknown>> | undefined)?.[key],
    root,
  );
}

/** Converts the issues of a zod error into faults for operators. */
export function convertZodError(root: unknown, error: z.ZodError): readonly ValidationFault[] {
  return error.issues.map((issue) => ({
    field: issue.path.join('.') || '(root)',
    value: formatValue(findValueAtPath(root, issue.path)),
    allowed: issue.message,
  }));
}

/** Formats a fault as one line. */
export function formatFault(fault: ValidationFault): string {
  return `${fault.field}: ${fault.value} is not allowed: ${fault.allowed}`;
}

/** Formats the first faults as one line, with the number of those left out. */
export function formatFaults(faults: readonly ValidationFault[]): string {
  const leftOut = faults.length - MAX_FORMATTED_FAULTS;
  const lines = faults.slice(0, MAX_FORMATTED_FAULTS).map(formatFault);
  return [...lines, ...(leftOut > 0 ? [`and ${leftOut} more`] : [])].join('; ');
}

/** Validates a value against a schema. */
export function checkShape<Value>(
  schema: z.ZodType<Value>,
  value: unknown,
): ValidationResult<Value> {
  try {
    const result = schema.safeParse(value);
    if (result.success) return { ok: true, value: result.data };
    return { ok: false, faults: convertZodError(value, result.error) };
  } catch {
    // The library throws where it finds more faults than a call can take arguments.
    return { ok: false, faults: [UNCOUNTED_FAULTS] };
  }
}

function listDuplicateIndexes(names: readonly string[]): readonly number[] {
  const firstIndexByName = new Map<string, number>();
  names.forEach((name, index) => {
    if (!firstIndexByName.has(name)) firstIndexByName.set(name, index);
  });
  return names.flatMap((name, index) => (firstIndexByName.get(name) === index ? [] : [index]));
}

function checkUnique(field: string, names: readonly string[]): readonly ValidationFault[] {
  return listDuplicateIndexes(names).map((index) => ({
    field: `${field}.${index}`,
    value: formatValue(names[index]),
    allowed: 'each name may occur only once',
  }));
}

function checkPlan(plan: Plan, index: number): readonly ValidationFault[] {
  const field = `plans.${index}`;
  const maxWeight = Math.max(
    ...plan.services.flatMap((service) => service.kinds.map((kind) => kind.weight)),
  );
  const burstFaults =
    plan.burst >= maxWeight
      ? []
      : [
          {
            field: `${field}.burst`,
            value: formatValue(plan.burst),
            allowed: `at least ${maxWeight}, the weight of the heaviest kind`,
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

function checkCustomers(
  customers: readonly Customer[],
  plans: readonly Plan[],
): readonly ValidationFault[] {
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

/**
 * Validates the customers and plans: first against the schema, then for unique names, sufficient
 * bursts and references to existing plans.
 */
export function checkLists(value: unknown): ValidationResult<Lists> {
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

/** Validates a VM list against the schema, then for unique upstream ids. */
export function checkVmList(value: unknown): ValidationResult<VmList> {
  const shape = checkShape(vmListSchema, value);
  if (!shape.ok) return shape;
  const faults = checkUnique(
    'upstreams',
    shape.value.upstreams.map((upstream) => upstream.id),
  );
  return faults.length === 0 ? shape : { ok: false, faults };
}
