/**
 * SWIM-style gossip membership of the fleet, as one daemon sees it. Each update about a member is
 * sent with the regular exchanges a bounded number of times, so that the bytes a daemon sends do
 * not grow with the fleet. A member that answers neither direct nor indirect probes becomes
 * suspect, and dead if it does not refute the suspicion in time. A member refutes a false suspicion
 * by raising its own version.
 */
import { chooseOne, chooseSome } from '../runtime/index.js';
import type { Clock, RandomSource } from '../runtime/index.js';
import { Table } from '../tables/index.js';
import { MAX_COUNTER } from '../untrusted/index.js';
import { isNewerMember, isPresent, isServing } from './compare-members.js';
import type { Member, MembershipSettings, MemberState } from './types.js';

type PendingUpdate = { readonly id: string; readonly timesSent: number };

type EventTime = { readonly id: string; readonly at: number };

/** An update is sent at most this many times the binary logarithm of the fleet's size. */
const RETRANSMIT_MULTIPLIER = 3;

export type MembershipPorts = {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Whether members are exchanged with a member; with all members if absent. */
  readonly isExchangePartner?: (member: Member) => boolean;
};

/** Peers take no higher number. */
function countUp(version: number): number {
  return Math.min(version + 1, MAX_COUNTER);
}

export class Membership {
  readonly members = new Table<Member>();

  /** Members that other daemons can reach and this daemon cannot. */
  readonly brokenLinks = new Table<EventTime>();

  readonly #pendingUpdates = new Table<PendingUpdate>();

  readonly #changedAt = new Table<EventTime>();

  readonly #ports: MembershipPorts;

  readonly #settings: MembershipSettings;

  readonly #selfId: string;

  #exchangeOrder: readonly string[] = [];

  constructor(self: Member, settings: MembershipSettings, ports: MembershipPorts) {
    this.#selfId = self.id;
    this.#settings = settings;
    this.#ports = ports;
    this.#accept(self);
  }

  get self(): Member {
    return this.members.get(this.#selfId) as Member;
  }

  /** Changes this daemon's own state and queues the update for gossip. */
  setOwnState(state: MemberState): void {
    this.#accept({ ...this.self, state, version: this.self.version + 1 });
  }

  /** Sets this daemon's own load. If it changed, queues the update for gossip and returns true. */
  setOwnLoad(load: number): boolean {
    if (load === this.self.load) return false;
    this.#accept({ ...this.self, load, version: this.self.version + 1 });
    return true;
  }

  /** Sets this daemon's own capacity. If it changed, queues the update and returns true. */
  setOwnCapacity(capacity: number): boolean {
    if (capacity === this.self.capacity) return false;
    this.#accept({ ...this.self, capacity, version: this.self.version + 1 });
    return true;
  }

  listPresent(): readonly Member[] {
    return this.members.list().filter(isPresent);
  }

  listServing(): readonly Member[] {
    return this.members.list().filter(isServing);
  }

  listPeers(): readonly Member[] {
    return this.listPresent().filter((member) => member.id !== this.#selfId);
  }

  /** Serving daemons, this one included, without those that this daemon cannot reach. */
  listReachable(): readonly Member[] {
    return this.listServing().filter((member) => !this.brokenLinks.has(member.id));
  }

  /** Chooses the peer for the next exchange: each partner once in random order, then reshuffled. */
  chooseExchangePeer(): Member | undefined {
    if (this.#exchangeOrder.length === 0) this.#refillExchangeOrder();
    const [nextId, ...rest] = this.#exchangeOrder;
    this.#exchangeOrder = rest;
    const next = nextId === undefined ? undefined : this.members.get(nextId);
    if (next && isPresent(next)) return next;
    return chooseOne(this.#ports.random, this.#listExchangePartners());
  }

  /** Chooses a random dead member, to probe whether a partition has healed. */
  chooseDeadMember(): Member | undefined {
    const dead = this.members
      .list()
      .filter((member) => member.state === 'dead' && this.#isExchangePartner(member));
    return chooseOne(this.#ports.random, dead);
  }

  /** Chooses up to `count` random peers except `excludedId`, e.g. for an indirect probe of it. */
  chooseRandomPeers(excludedId: string, count: number): readonly Member[] {
    const candidates = this.#listExchangePartners().filter((member) => member.id !== excludedId);
    return chooseSome(this.#ports.random, candidates, count);
  }

  /** Increases with every change of the members or of the broken links. */
  get revision(): number {
    return this.members.revision + this.brokenLinks.revision;
  }

  /** Builds the updates for the next message, those that were sent least often first. */
  buildUpdates(): readonly Member[] {
    const chosen = [...this.#pendingUpdates.list()]
      .sort((left, right) => left.timesSent - right.timesSent)
      .slice(0, this.#settings.maxUpdatesPerMessage);
    chosen.forEach((pendingUpdate) => this.#recordSent(pendingUpdate));
    return chosen.flatMap((pendingUpdate) => this.members.get(pendingUpdate.id) ?? []);
  }

  hasPendingUpdates(): boolean {
    return this.#pendingUpdates.size > 0;
  }

  /** Merges updates from a peer; refutes those that are wrong about this daemon. */
  applyUpdates(updates: readonly Member[]): void {
    updates.forEach((update) => this.#applyUpdate(update));
  }

  /** Records that a peer was reached directly, so that its link is no longer broken. */
  recordDirectContact(id: string): void {
    this.brokenLinks.remove(id);
  }

  /** Records that a peer answers other daemons, but not this one. */
  recordBrokenLink(id: string): void {
    if (!this.brokenLinks.has(id)) this.brokenLinks.put({ id, at: this.#ports.clock.now() });
  }

  /** Records that a member answered neither a direct nor an indirect probe; it becomes suspect. */
  recordUnreachable(id: string): void {
    const member = this.members.get(id);
    if (!member || !isPresent(member) || member.state === 'suspect') return;
    this.#accept({ ...member, state: 'suspect' });
  }

  /** Declares suspects dead that did not refute in time, and removes expired tombstones. */
  runTick(): void {
    const now = this.#ports.clock.now();
    this.members.list().forEach((member) => this.#expireMember(member, now));
  }

  #applyUpdate(update: Member): void {
    if (update.id === this.#selfId) {
      this.#refute(update);
      return;
    }
    const known = this.members.get(update.id);
    if (!known && !isPresent(update)) return;
    if (isNewerMember(update, known)) this.#accept(update);
  }

  #refute(update: Member): void {
    const { self } = this;
    if (update.incarnation > self.incarnation) {
      // The clock was ahead at an earlier start of this daemon, and peers take that start for newer.
      this.#accept(
        update.incarnation < MAX_COUNTER
          ? { ...self, incarnation: update.incarnation + 1 }
          : { ...self, incarnation: MAX_COUNTER, version: countUp(update.version) },
      );
      return;
    }
    if (update.incarnation !== self.incarnation || !isNewerMember(update, self)) return;
    this.#accept({ ...self, version: countUp(update.version) });
  }

  #accept(member: Member): void {
    this.members.put(member);
    this.#pendingUpdates.put({ id: member.id, timesSent: 0 });
    this.#changedAt.put({ id: member.id, at: this.#ports.clock.now() });
  }

  #recordSent(pendingUpdate: PendingUpdate): void {
    const timesSent = pendingUpdate.timesSent + 1;
    const limit = RETRANSMIT_MULTIPLIER * Math.ceil(Math.log2(this.members.size + 1));
    if (timesSent >= limit) this.#pendingUpdates.remove(pendingUpdate.id);
    else this.#pendingUpdates.put({ ...pendingUpdate, timesSent });
  }

  #expireMember(member: Member, now: number): void {
    const age = now - (this.#changedAt.get(member.id)?.at ?? now);
    if (member.state === 'suspect' && age >= this.#settings.suspicionMs) {
      this.#accept({ ...member, state: 'dead' });
      return;
    }
    if (!isPresent(member) && age >= this.#settings.tombstoneMs) this.#removeMember(member.id);
  }

  #removeMember(id: string): void {
    this.members.remove(id);
    this.#pendingUpdates.remove(id);
    this.#changedAt.remove(id);
    this.brokenLinks.remove(id);
  }

  #isExchangePartner(member: Member): boolean {
    return this.#ports.isExchangePartner?.(member) ?? true;
  }

  /** All peers if no exchange partner is present. */
  #listExchangePartners(): readonly Member[] {
    const peers = this.listPeers();
    const partners = peers.filter((member) => this.#isExchangePartner(member));
    return partners.length > 0 ? partners : peers;
  }

  #refillExchangeOrder(): void {
    const peers = this.#listExchangePartners();
    this.#exchangeOrder = chooseSome(this.#ports.random, peers, peers.length).map(({ id }) => id);
  }
}
