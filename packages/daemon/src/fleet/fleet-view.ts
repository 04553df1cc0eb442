/**
 * What this daemon believes: the members, the documents in force, and what follows from both
 * for each service. Derived rows are computed anew only when something they rest on changed.
 */
import {
  assignSlots,
  chooseOwners,
  hashText,
  listServicePolicies,
  listSlots,
  PlanIndex,
  Table,
} from '@baobabline/core';
import type {
  DocumentStore,
  Member,
  Membership,
  RoutingPolicyName,
  ServicePolicy,
  Slot,
  Upstream,
  VmList,
} from '@baobabline/core';

/** One service as this daemon sees it. */
export type ServiceView = {
  readonly id: string;
  readonly policy: ServicePolicy;
  readonly upstreams: readonly Upstream[];
  /** Daemons that dispatch the service, best placed first. */
  readonly owners: readonly Member[];
  /** Slots that this daemon owns. */
  readonly ownSlots: readonly Slot[];
};

function groupUpstreams(vmList: VmList): ReadonlyMap<string, readonly Upstream[]> {
  return vmList.upstreams.reduce(
    (groups, upstream) =>
      groups.set(upstream.service, [...(groups.get(upstream.service) ?? []), upstream]),
    new Map<string, readonly Upstream[]>(),
  );
}

export class FleetView {
  readonly membership: Membership;

  readonly documents: DocumentStore;

  readonly services = new Table<ServiceView>();

  #plans: PlanIndex | undefined;

  #seenPlacement = '';

  #seenMembers = -1;

  #seenDocuments = -1;

  readonly #routing: RoutingPolicyName;

  constructor(membership: Membership, documents: DocumentStore, routing: RoutingPolicyName) {
    this.#routing = routing;
    this.membership = membership;
    this.documents = documents;
  }

  get plans(): PlanIndex | undefined {
    return this.#plans;
  }

  /** Brings the derived rows up to date and says whether any of them changed. */
  refresh(): boolean {
    if (!this.#hasNews()) return false;
    const placement = this.#describePlacement();
    if (placement === this.#seenPlacement) return false;
    this.#seenPlacement = placement;
    const { lists, vmList } = this.documents;
    if (!lists || !vmList) return false;
    this.#plans = new PlanIndex(lists);
    const groups = groupUpstreams(vmList);
    const daemons = this.#listOwnerCandidates();
    const views = listServicePolicies(lists).map((policy) =>
      this.#buildService(policy, groups.get(policy.name) ?? [], daemons),
    );
    this.services.replaceAll(views);
    return true;
  }

  /** Whether any table that placement rests on has changed since the last look. */
  #hasNews(): boolean {
    const { members } = this.membership;
    if (members.revision === this.#seenMembers && this.documents.revision === this.#seenDocuments) {
      return false;
    }
    this.#seenMembers = members.revision;
    this.#seenDocuments = this.documents.revision;
    return true;
  }

  /** Daemons that may own slots. A suspect keeps its slots until it is known to be dead. */
  #listOwnerCandidates(): readonly Member[] {
    return this.membership.members
      .list()
      .filter(({ state }) => state === 'serving' || state === 'suspect')
      .sort((left, right) => (left.id < right.id ? -1 : 1));
  }

  #describePlacement(): string {
    const daemons = this.#listOwnerCandidates().map(
      ({ id, incarnation }) => `${id}@${incarnation}`,
    );
    return `${this.documents.revision}|${daemons.join(',')}`;
  }

  #buildService(
    policy: ServicePolicy,
    upstreams: readonly Upstream[],
    daemons: readonly Member[],
  ): ServiceView {
    const slots = listSlots(upstreams.filter(({ state }) => state === 'live'));
    if (this.#routing !== 'owned-slots') {
      return { id: policy.name, policy, upstreams, owners: daemons, ownSlots: slots };
    }
    const owners = chooseOwners(policy.name, slots.length, daemons, hashText);
    const selfId = this.membership.self.id;
    const ownSlots = owners.some(({ id }) => id === selfId)
      ? assignSlots(slots, owners, hashText).filter(({ ownerId }) => ownerId === selfId)
      : [];
    return { id: policy.name, policy, upstreams, owners, ownSlots };
  }
}
