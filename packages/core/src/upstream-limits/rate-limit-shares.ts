/**
 * Divides the rate limit of an upstream among the daemons without communication about it. An
 * upstream takes a rate from the whole fleet, while daemons learn of each other late, in one
 * direction only, or not at all.
 *
 * For each upstream a few of the dispatchers are chosen by rendezvous hashing; each of them may use
 * an equal share of the rate, all others none. What keeps the sum of all shares at the limit:
 * - A daemon that is cut off from others uses only the part of the fleet that it sees. Daemons that
 *   disappeared without leaving count as part of the fleet for as long as a partition may last, and
 *   so do seeds that a daemon has not found since its start: it may have started in a partition.
 * - A share falls at once, and rises only after this daemon's view of the fleet has called for it
 *   for some seconds: by then those that must use less have heard of it.
 * - A daemon that has just started or was suspended has no share for the same time.
 */
import type { Clock, HashText } from '../runtime/index.js';

/** A member of the fleet as far as it matters for shares. */
export type ShareMember = {
  readonly id: string;
  readonly dataCentre: string;
  /** Whether it takes part in the fleet, as far as this daemon knows. */
  readonly isPresent: boolean;
  /** Whether it announced that it leaves the fleet; it then sends nothing any more. */
  readonly hasLeft: boolean;
};

export type RateLimitSharesPorts = {
  readonly clock: Clock;
  /** Wall-clock time in milliseconds; it advances while the VM is suspended. */
  readonly getWallTime: () => number;
  readonly hash: HashText;
  /** Increases with every change of the members. */
  readonly getRevision: () => number;
  readonly listMembers: () => readonly ShareMember[];
  /** Addresses of configured seeds at which no member is known. */
  readonly listUnknownSeeds: () => readonly string[];
  /** All dispatchers, this daemon included if it is one; the same list until it changes. */
  readonly listDispatchers: () => readonly { readonly id: string }[];
  /** Whether this daemon is in a planned stop; it knows so before any other does. */
  readonly isLeaving: () => boolean;
};

/** How the fleet divides limits, as this daemon saw it from a time on. */
type FleetView = {
  readonly since: number;
  readonly dispatchers: readonly string[];
  /** Part of the fleet that this daemon sees, from 0 to 1. */
  readonly visiblePart: number;
  /** Shares that were computed, by upstream. */
  readonly shares: Map<string, number>;
};

type SeenMember = { readonly dataCentre: string; readonly seenAt: number };

/** More would raise the requests that may coincide, and make shares of low limits very small. */
const MAX_DAEMONS_PER_UPSTREAM = 4;
/** Covers the time in which a change of the dispatchers reaches every daemon. */
const SETTLE_MS = 3000;
/**
 * A dispatcher that leaves keeps its share for this long, for the callers that still send to it. The
 * others wait longer before they take it over, by more than the time between two refreshes.
 */
const LEAVING_SHARE_MS = 2500;
/** A longer time between two refreshes means that this daemon did not run. */
const MAX_REFRESH_GAP_MS = 1000;
/** A lost daemon counts as partitioned for this long. */
const PARTITION_MEMORY_MS = 3_600_000;

function isSameList(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((item, index) => item === right[index]);
}

export class RateLimitShares {
  readonly #selfId: string;

  readonly #ports: RateLimitSharesPorts;

  readonly #seenMembers = new Map<string, SeenMember>();

  readonly #foundSeeds = new Set<string>();

  /** Seeds that were unknown at the last look. */
  #unknownSeeds: readonly string[] = [];

  readonly #startedAt: number;

  /** Views that still count, oldest first. */
  #views: readonly FleetView[] = [];

  /** When this daemon started, or went on after it had not run for a while. */
  #runningSince: number;

  #refreshed: { readonly at: number; readonly wallTime: number };

  #revision = -1;

  #dispatchers: readonly { readonly id: string }[] = [];

  constructor(selfId: string, ports: RateLimitSharesPorts) {
    this.#selfId = selfId;
    this.#ports = ports;
    this.#startedAt = ports.clock.now();
    this.#runningSince = this.#startedAt;
    this.#refreshed = { at: this.#runningSince, wallTime: ports.getWallTime() };
  }

  /** Returns the part of an upstream's rate limit that this daemon may use now, from 0 to 1. */
  getShare(upstreamId: string): number {
    this.refresh();
    if (this.#ports.clock.now() < this.#runningSince + SETTLE_MS) return 0;
    return Math.min(...this.#listCounted().map((view) => this.#findShare(view, upstreamId)));
  }

  /** Returns the part of the fleet that this daemon has seen for some seconds, from 0 to 1. */
  getVisiblePart(): number {
    this.refresh();
    if (this.#ports.clock.now() < this.#runningSince + SETTLE_MS) return 0;
    return Math.min(...this.#views.map(({ visiblePart }) => visiblePart));
  }

  /**
   * Returns the same for limits that a daemon may use as soon as it runs, since it learns from the
   * others what they have used: until it has run for some seconds, the part that it sees now.
   */
  getLatestVisiblePart(): number {
    this.refresh();
    const isSettled = this.#ports.clock.now() >= this.#runningSince + SETTLE_MS;
    return isSettled ? this.getVisiblePart() : (this.#views.at(-1)?.visiblePart ?? 0);
  }

  /** Brings the view of the fleet up to date; to be called several times a second. */
  refresh(): void {
    const { clock, getWallTime, getRevision, listDispatchers } = this.#ports;
    const now = clock.now();
    this.#checkPause(now, getWallTime());
    const revision = getRevision();
    const dispatchers = listDispatchers();
    if (revision !== this.#revision || dispatchers !== this.#dispatchers) {
      this.#revision = revision;
      this.#dispatchers = dispatchers;
      this.#addView(now);
    }
    if (this.#views.length > 1) this.#dropSettledViews(now);
  }

  /** The views that count now: all, but for those that a leaving daemon has left itself lately. */
  #listCounted(): readonly FleetView[] {
    if (!this.#ports.isLeaving()) return this.#views;
    const lately = this.#ports.clock.now() - LEAVING_SHARE_MS;
    const counted = this.#views.filter(
      ({ since, dispatchers }) => since <= lately || dispatchers.includes(this.#selfId),
    );
    return counted.length > 0 ? counted : this.#views;
  }

  #checkPause(at: number, wallTime: number): void {
    const gapMs = Math.max(at - this.#refreshed.at, wallTime - this.#refreshed.wallTime);
    if (gapMs > MAX_REFRESH_GAP_MS) this.#runningSince = at;
    this.#refreshed = { at, wallTime };
  }

  #addView(now: number): void {
    const dispatchers = this.#dispatchers.map(({ id }) => id);
    const visiblePart = this.#computeVisiblePart(now);
    const last = this.#views.at(-1);
    const isKnown = last?.visiblePart === visiblePart && isSameList(last.dispatchers, dispatchers);
    if (!isKnown)
      this.#views = [...this.#views, { since: now, dispatchers, visiblePart, shares: new Map() }];
  }

  /** Drops the views that were replaced before the settle time. */
  #dropSettledViews(now: number): void {
    this.#views = this.#views.filter((_view, index) => {
      const replacedAt = this.#views[index + 1]?.since ?? Number.POSITIVE_INFINITY;
      return replacedAt > now - SETTLE_MS;
    });
  }

  #findShare(view: FleetView, upstreamId: string): number {
    const known = view.shares.get(upstreamId);
    if (known !== undefined) return known;
    const share = this.#computeShare(view, upstreamId);
    view.shares.set(upstreamId, share);
    return share;
  }

  #computeShare({ dispatchers, visiblePart }: FleetView, upstreamId: string): number {
    if (!dispatchers.includes(this.#selfId)) return 0;
    const count = Math.min(dispatchers.length, MAX_DAEMONS_PER_UPSTREAM);
    const { hash } = this.#ports;
    const rank = (id: string): number => hash(`${upstreamId}|${id}`);
    const own = rank(this.#selfId);
    const ahead =
      dispatchers.length > count ? dispatchers.filter((id) => rank(id) > own).length : 0;
    return ahead < count ? visiblePart / count : 0;
  }

  /**
   * The mean over the data centres of the part of their daemons that is present. Every data centre
   * weighs the same, since a daemon knows only some of the members of the others. A seed that was
   * never found weighs like a data centre that is lost.
   */
  #computeVisiblePart(now: number): number {
    const members = this.#ports.listMembers();
    members
      .filter(({ isPresent }) => isPresent)
      .forEach(({ id, dataCentre }) => this.#seenMembers.set(id, { dataCentre, seenAt: now }));
    members.filter(({ hasLeft }) => hasLeft).forEach(({ id }) => this.#seenMembers.delete(id));
    this.#seenMembers.forEach(({ seenAt }, id) => {
      if (seenAt < now - PARTITION_MEMORY_MS) this.#seenMembers.delete(id);
    });
    const seen = [...this.#seenMembers.values()];
    const dataCentres = [...new Set(seen.map(({ dataCentre }) => dataCentre))];
    const parts = dataCentres.map((name) => {
      const inside = seen.filter(({ dataCentre }) => dataCentre === name);
      return inside.filter(({ seenAt }) => seenAt === now).length / inside.length;
    });
    const weight = parts.length + this.#countLostSeeds(now);
    return parts.reduce((sum, part) => sum + part, 0) / Math.max(1, weight);
  }

  #countLostSeeds(now: number): number {
    const unknown = this.#ports.listUnknownSeeds();
    this.#unknownSeeds
      .filter((seed) => !unknown.includes(seed))
      .forEach((seed) => this.#foundSeeds.add(seed));
    this.#unknownSeeds = unknown;
    if (now > this.#startedAt + PARTITION_MEMORY_MS) return 0;
    return unknown.filter((seed) => !this.#foundSeeds.has(seed)).length;
  }
}
