/**
 * Requests that wait for a slot. The customer that has had least for its share goes first, and
 * within a customer the earliest deadline.
 */
import type { Ticket } from './types.js';

type CustomerUse = { readonly virtualTime: number };

const MAX_REMEMBERED_CUSTOMERS = 1000;
const EMPTY_USE: CustomerUse = { virtualTime: 0 };

export type Waiting<Payload> = {
  readonly ticket: Ticket;
  readonly payload: Payload;
};

export class WaitQueue<Payload> {
  #waiting: readonly Waiting<Payload>[] = [];

  readonly #uses = new Map<string, CustomerUse>();

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

  add(waiting: Waiting<Payload>): void {
    this.#waiting = [...this.#waiting, waiting];
  }

  /** Removes one request, as when its caller has gone away. */
  remove(requestId: string): boolean {
    const before = this.#waiting.length;
    this.#waiting = this.#waiting.filter(({ ticket }) => ticket.requestId !== requestId);
    return this.#waiting.length < before;
  }

  /** Takes out all whose deadline has passed. */
  takeExpired(now: number): readonly Waiting<Payload>[] {
    const expired = this.#waiting.filter(({ ticket }) => ticket.deadline <= now);
    if (expired.length > 0) {
      this.#waiting = this.#waiting.filter(({ ticket }) => ticket.deadline > now);
    }
    return expired;
  }

  takeAll(): readonly Waiting<Payload>[] {
    const all = this.#waiting;
    this.#waiting = [];
    return all;
  }

  /** Takes the request that goes next among those that `accepts` lets through. */
  takeNext(accepts: (ticket: Ticket) => boolean): Waiting<Payload> | undefined {
    const next = this.#waiting
      .filter(({ ticket }) => accepts(ticket))
      .reduce<Waiting<Payload> | undefined>(
        (best, candidate) => (best && !this.#goesBefore(candidate, best) ? best : candidate),
        undefined,
      );
    if (next) {
      this.remove(next.ticket.requestId);
      this.recordServed(next.ticket);
    }
    return next;
  }

  /** Counts a request against its customer's share. */
  recordServed(ticket: Ticket): void {
    const start = Math.max(this.#getVirtualTime(ticket.customer), this.#virtualTime);
    this.#virtualTime = start;
    this.#uses.set(ticket.customer, { virtualTime: start + ticket.weight / ticket.share });
    if (this.#uses.size > MAX_REMEMBERED_CUSTOMERS) this.#forgetIdleCustomers();
  }

  /** A customer whose time has been overtaken is served like one never seen. */
  #forgetIdleCustomers(): void {
    [...this.#uses]
      .filter(([, { virtualTime }]) => virtualTime <= this.#virtualTime)
      .forEach(([customer]) => this.#uses.delete(customer));
  }

  #getVirtualTime(customer: string): number {
    return (this.#uses.get(customer) ?? EMPTY_USE).virtualTime;
  }

  #goesBefore(left: Waiting<Payload>, right: Waiting<Payload>): boolean {
    const leftTime = Math.max(this.#getVirtualTime(left.ticket.customer), this.#virtualTime);
    const rightTime = Math.max(this.#getVirtualTime(right.ticket.customer), this.#virtualTime);
    if (leftTime !== rightTime) return leftTime < rightTime;
    return left.ticket.deadline < right.ticket.deadline;
  }
}
