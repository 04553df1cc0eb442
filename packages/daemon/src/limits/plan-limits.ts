/**
 * Holds each customer to its plan's rate across the fleet: spends what was borrowed, borrows from
 * the customer's lender, and falls back to this daemon's share of the roster when the lender is
 * out of reach.
 */
import {
  TokenLender,
  BorrowedTokens,
  chooseAcrossDataCentres,
  computeLoanSize,
  createRefusal,
  hashText,
} from '@baobabline/core';
import type { BucketRate, Clock, Loan, Member, Plan } from '@baobabline/core';

import type { FleetView } from '../fleet/fleet-view.js';
import type { LoanRequest } from '../peers/messages.js';
import type { PeerClient } from '../peers/peer-client.js';

export type PlanLimitsDependencies = {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly client: PeerClient;
};

const NO_LOAN: Loan = { granted: 0, retryAfterSeconds: 1 };

export class PlanLimits {
  readonly #dependencies: PlanLimitsDependencies;

  readonly #lender = new TokenLender();

  readonly #borrowed = new BorrowedTokens();

  constructor(dependencies: PlanLimitsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Takes the weight of one request or throws `over-plan-rate`. */
  async take(customer: string, plan: Plan, weight: number): Promise<void> {
    const { clock } = this.#dependencies;
    if (this.#borrowed.spend(customer, weight, clock.now())) return;
    const request = { customer, needed: weight, wanted: computeLoanSize(weight, plan) };
    const loan = await this.#borrow(request, plan);
    if (loan.granted < weight) {
      const retryAfterSeconds = Math.max(1, Math.ceil(loan.retryAfterSeconds));
      throw createRefusal('overPlanRate', { retryAfterSeconds });
    }
    this.#borrowed.add(customer, loan.granted, clock.now());
    this.#borrowed.spend(customer, weight, clock.now());
  }

  /** Lends to a peer. */
  handleLend(request: LoanRequest): Loan {
    const plan = this.#dependencies.view.plans?.findPlan(request.customer);
    return plan ? this.#lendLocally(request, plan, this.#computeVisibleShare()) : NO_LOAN;
  }

  runTick(): void {
    const now = this.#dependencies.clock.now();
    this.#lender.runTick(now);
    this.#borrowed.runTick(now);
  }

  async #borrow(request: LoanRequest, plan: Plan): Promise<Loan> {
    const { view, client } = this.#dependencies;
    const lender = this.#chooseLender(request.customer);
    if (!lender || lender.id === view.membership.self.id) {
      return this.#lendLocally(request, plan, this.#computeVisibleShare());
    }
    try {
      const peer = { address: lender.address, port: lender.peerPort };
      return await client.connect(peer).lend.mutate(request);
    } catch {
      return this.#lendLocally(request, plan, 1 / this.#countRoster());
    }
  }

  #chooseLender(customer: string): Member | undefined {
    const serving = this.#dependencies.view.membership.listServing();
    return chooseAcrossDataCentres(`lender|${customer}`, serving, 1, hashText)[0];
  }

  #lendLocally(request: LoanRequest, rate: BucketRate, share: number): Loan {
    const { customer, needed, wanted } = request;
    return this.#lender.lend(
      customer,
      rate,
      { needed, wanted, share },
      this.#dependencies.clock.now(),
    );
  }

  /** The share of the roster that this daemon can see; below one in a partition. */
  #computeVisibleShare(): number {
    const visible = this.#dependencies.view.membership.listPresent().length;
    return Math.min(1, visible / this.#countRoster());
  }

  #countRoster(): number {
    const listed = this.#dependencies.view.documents.vmList?.entryVms.length ?? 0;
    return Math.max(1, listed, this.#dependencies.view.membership.members.size);
  }
}
