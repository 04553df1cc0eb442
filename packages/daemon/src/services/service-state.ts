/**
 * Everything a daemon keeps for one service that it dispatches: its slots with their connections,
 * what it knows of the upstreams, and the retry budget.
 */
import {
  createSlotChooser,
  createSuspicionPolicy,
  OutlierDetector,
  Ejections,
  RetryBudget,
  SlotPool,
} from '@baobabline/core';
import type {
  Clock,
  EjectionChange,
  Evidence,
  RandomSource,
  ServicePolicy,
  RequestEnd,
  RoutingPolicyName,
  Slot,
  SuspicionPolicy,
  SuspicionPolicyName,
  Upstream,
  UpstreamScore,
  UpstreamHealth,
} from '@baobabline/core';

import { UpstreamLink } from './upstream-link.js';
import type { UpstreamReachability } from './upstream-reachability.js';

export type ServiceStateDependencies = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly reachability: UpstreamReachability;
  readonly suspicion: SuspicionPolicyName;
  readonly routing: RoutingPolicyName;
  /** The origin at which this daemon reaches an upstream. */
  readonly getOrigin: (upstream: Upstream) => string;
};

export type Placement = {
  readonly policy: ServicePolicy;
  /** All upstreams of the service, leaving ones included. */
  readonly upstreams: readonly Upstream[];
  readonly ownSlots: readonly Slot[];
};

export class ServiceState {
  readonly name: string;

  readonly pool: SlotPool;

  readonly detector = new OutlierDetector();

  readonly ejections = new Ejections();

  readonly retryBudget = new RetryBudget();

  readonly #dependencies: ServiceStateDependencies;

  readonly #suspicion: SuspicionPolicy;

  readonly #links = new Map<string, UpstreamLink>();

  #upstreams: ReadonlyMap<string, Upstream> = new Map();

  #policy: ServicePolicy;

  #scores: readonly UpstreamScore[] = [];

  constructor(policy: ServicePolicy, dependencies: ServiceStateDependencies) {
    this.name = policy.name;
    this.#policy = policy;
    this.#dependencies = dependencies;
    this.#suspicion = createSuspicionPolicy(dependencies.suspicion);
    this.pool = new SlotPool({
      clock: dependencies.clock,
      random: dependencies.random,
      getHealth: (upstreamId) => this.getStanding(upstreamId),
      chooser: createSlotChooser(dependencies.routing),
    });
  }

  get scores(): readonly UpstreamScore[] {
    return this.#scores;
  }

  get policy(): ServicePolicy {
    return this.#policy;
  }

  /** Takes in new lists or a new division of the slots. */
  applyPlacement({ policy, upstreams, ownSlots }: Placement): void {
    this.#policy = policy;
    this.#upstreams = new Map(upstreams.map((upstream) => [upstream.id, upstream]));
    this.detector.pruneUpstreams(new Set(this.#upstreams.keys()));
    this.#closeUnownedLinks(new Set(ownSlots.map(({ id }) => id)));
    this.pool.setSlots(ownSlots);
  }

  getUpstream(upstreamId: string): Upstream | undefined {
    return this.#upstreams.get(upstreamId);
  }

  getStanding(upstreamId: string): UpstreamHealth {
    if (!this.#isAvailable(this.#upstreams.get(upstreamId))) return 'barred';
    return this.ejections.getHealth(upstreamId, this.#dependencies.clock.now());
  }

  getLink(slot: Slot): UpstreamLink {
    const known = this.#links.get(slot.id);
    if (known) return known;
    const upstream = this.#upstreams.get(slot.upstreamId) as Upstream;
    const link = new UpstreamLink(this.#dependencies.getOrigin(upstream));
    this.#links.set(slot.id, link);
    return link;
  }

  listAvailable(): readonly Upstream[] {
    return [...this.#upstreams.values()].filter((upstream) => this.#isAvailable(upstream));
  }

  countConnections(): number {
    return this.#links.size;
  }

  /** Turns evidence into ejections and returns what has changed. */
  runDetection(evidence: readonly Evidence[]): readonly EjectionChange[] {
    const now = this.#dependencies.clock.now();
    const { floorSlots } = this.#policy;
    this.#scores = this.detector.computeScores(now);
    const available = this.listAvailable();
    const verdicts = this.#suspicion.judge({
      upstreamIds: available.map(({ id }) => id),
      scores: this.#scores,
      evidence,
      policy: this.#policy,
      now,
    });
    const changes = this.ejections.runTick({ available, verdicts, floorSlots, now });
    changes
      .filter(({ change }) => change === 'on-trial' || change === 'returned')
      .forEach(({ upstreamId }) => this.detector.resetUpstream(upstreamId));
    return changes;
  }

  /** Tells detection how an attempt ended. */
  recordEnd(attemptId: string, upstreamId: string, end: RequestEnd): void {
    this.detector.recordEnd(attemptId, end, this.#dependencies.clock.now());
    this.#suspicion.recordEnd(upstreamId, end);
  }

  close(): void {
    this.#links.forEach((link) => link.close());
    this.#links.clear();
  }

  #isAvailable(upstream: Upstream | undefined): upstream is Upstream {
    if (!upstream || upstream.state === 'leaving') return false;
    const { reachability } = this.#dependencies;
    return reachability.isReachable(upstream.id) && !reachability.isDraining(upstream.id);
  }

  #closeUnownedLinks(ownSlotIds: ReadonlySet<string>): void {
    [...this.#links.keys()]
      .filter((slotId) => !ownSlotIds.has(slotId) && !this.pool.isBusy(slotId))
      .forEach((slotId) => this.#closeLink(slotId));
  }

  #closeLink(slotId: string): void {
    this.#links.get(slotId)?.close();
    this.#links.delete(slotId);
  }
}
