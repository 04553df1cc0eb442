/**
 * A weighted fair queue of requests that wait for a slot. Each customer has a virtual time, which
 * grows by weight / share with every request served. The customer with the lowest virtual time
 * goes first; its requests go in order of deadline.
 */
import type { SlotRequest } from './types.js';

type CustomerUsage = { readonly virtualTime: number };

const MAX_TRACKED_CUSTOMERS = 1000;
const NO_USAGE: CustomerUsage = { virtualTime: 0 };

export type QueuedRequest<Payload> = {
  readonly request: SlotRequest;
  readonly payload: Payload;
};

export class WaitQueue<Payload> {
  #waiting: readonly QueuedRequest<Payload>[] = [];

  readonly #usageByCustomer = new Map<string, CustomerUsage>();

  #virtualTime = 0;

  readonly #maxLength: number;

  constructor(maxLength: number) {
    this.#maxLength = maxLength;
  }

  get length(): number {
    return this.#waiting.length;
  }

  isFull(): boolean {
    return this.#waiting.length >= this.#maxLength;
  }

  add(entry: QueuedRequest<Payload>): void {
    this.#waiting = [...this.#waiting, entry];
  }

  /** Removes a request, for example when its caller has gone away; false if it did not wait. */
  remove(requestId: string): boolean {
    const before = this.#waiting.length;
    this.#waiting = this.#waiting.filter(({ request }) => request.requestId !== requestId);
    return this.#waiting.length < before;
  }

  /** Removes and returns all requests whose deadline has passed. */
  takeExpired(now: number): readonly QueuedRequest<Payload>[] {
    const expired = this.#waiting.filter(({ request }) => request.deadline <= now);
    if (expired.length > 0) {
      this.#waiting = this.#waiting.filter(({ request }) => request.deadline > now);
    }
    return expired;
  }

  /** Removes and returns all requests. */
  takeAll(): readonly QueuedRequest<Payload>[] {
    const all = this.#waiting;
    this.#waiting = [];
    return all;
  }

  /** Removes and returns the next request for which `isEligible` returns true. */
  takeNext(isEligible: (request: SlotRequest) => boolean): QueuedRequest<Payload> | undefined {
    const next = this.#waiting
      .filter(({ request }) => isEligible(request))
      .reduce<QueuedRequest<Payload> | undefined>(
        (best, candidate) => (best && !this.#goesBefore(candidate, best) ? best : candidate),
        undefined,
      );
    if (next) {
      this.remove(next.request.requestId);
      this.recordServed(next.request);
    }
    return next;
  }

  /** Advances the virtual time of the customer by the cost of a served request. */
  recordServed(request: SlotRequest): void {
    const startTime = Math.max(this.#getVirtualTime(request.customer), this.#virtualTime);
    this.#virtualTime = startTime;
    this.#usageByCustomer.set(request.customer, {
      virtualTime: startTime + request.weight / request.share,
    });
    if (this.#usageByCustomer.size > MAX_TRACKED_CUSTOMERS) this.#forgetIdleCustomers();
  }

  /** Customers behind the queue's virtual time are treated like unknown ones, so drop them. */
  #forgetIdleCustomers(): void {
    [...this.#usageByCustomer]
      .filter(([, { virtualTime }]) => virtualTime <= this.#virtualTime)
      .forEach(([customer]) => this.#usageByCustomer.delete(customer));
  }

  #getVirtualTime(customer: string): number {
    return (this.#usageByCustomer.get(customer) ?? NO_USAGE).virtualTime;
  }

  #goesBefore(left: QueuedRequest<Payload>, right: QueuedRequest<Payload>): boolean {
    const leftTime = Math.max(this.#getVirtualTime(left.request.customer), this.#virtualTime);
    const rightTime = Math.max(this.#getVirtualTime(right.request.customer), this.#virtualTime);
    if (leftTime !== rightTime) return leftTime < rightTime;
    return left.request.deadline < right.request.deadline;
  }
}
