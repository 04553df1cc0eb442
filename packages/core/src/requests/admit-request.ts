/**
 * Checks a request against its customer's plan.
 */
import type { Customer, KindRule, Lists, Plan, ServiceRule } from '../lists/index.js';
import { createRefusal } from '../results/index.js';
import type { RequestHead } from './parse-request.js';

/** The parts of the lists that apply to one request, and whether it may be repeated. */
export type Admission = {
  readonly customer: Customer;
  readonly plan: Plan;
  readonly service: ServiceRule;
  readonly kind: KindRule;
  readonly repeatable: boolean;
};

/** Indexes the lists for the lookups of each request. */
export class PlanIndex {
  readonly #customers: ReadonlyMap<string, Customer>;

  readonly #plans: ReadonlyMap<string, Plan>;

  readonly #services: ReadonlySet<string>;

  constructor(lists: Lists) {
    this.#customers = new Map(lists.customers.map((customer) => [customer.id, customer]));
    this.#plans = new Map(lists.plans.map((plan) => [plan.id, plan]));
    this.#services = new Set(lists.plans.flatMap((plan) => plan.services.map(({ name }) => name)));
  }

  findPlan(customerId: string): Plan | undefined {
    const customer = this.#customers.get(customerId);
    return customer && this.#plans.get(customer.plan);
  }

  /** Admits a request, or throws a refusal if the customer's plan does not allow it. */
  admit(head: RequestHead, bodyBytes: number): Admission {
    if (!this.#services.has(head.service)) throw createRefusal('unknownService');
    const customer = this.#customers.get(head.customer);
    if (!customer) throw createRefusal('unknownCustomer');
    const plan = this.#plans.get(customer.plan) as Plan;
    const service = plan.services.find(({ name }) => name === head.service);
    const kind = service?.kinds.find(({ name }) => name === head.kind);
    if (!service || !kind) throw createRefusal('kindNotInPlan');
    if (bodyBytes > service.maxBodyBytes) throw createRefusal('bodyTooLarge');
    return { customer, plan, service, kind, repeatable: kind.repeatable ?? head.repeatable };
  }
}
