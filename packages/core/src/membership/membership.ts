/**
 * What one daemon believes about the fleet. News of a member travels with the regular exchanges
 * a bounded number of times, so that the bytes a daemon sends do not grow with the fleet; a
 * member that does not answer directly nor through others is suspect, and dead if it does not
 * refute in time. A member that is falsely suspected raises its own version.
 */
import { chooseOne, chooseSome } from '../runtime/index.js';
import type { Clock, RandomSource } from '../runtime/index.js';
import { Table } from '../tables/index.js';
import { isNewerMember, isPresent, isServing } from './compare-members.js';
import type { Member, MembershipSettings, MemberState } from './types.js';

type Rumour = { readonly id: string; readonly timesSent: number };

type Since = { readonly id: string; readonly at: number };

const TRANSMISSIONS_PER_LOG2 = 3;

export type MembershipPorts = {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** With whom members are exchanged; everybody where it is absent. */
  readonly isExchangePartner?: (member: Member) => boolean;
};

export class Membership {
  readonly members = new Table<Member>();

  /** Members that this daemon cannot reach itself, though others can. */
  readonly brokenLinks = new Table<Since>();

  readonly #rumours = new Table<Rumour>();

  readonly #changedAt = new Table<Since>();

  readonly #ports: MembershipPorts;

  readonly #settings: MembershipSettings;

  readonly #selfId: string;

  #probeOrder: readonly string[] = [];

  constructor(self: Member, settings: MembershipSettings, ports: MembershipPorts) {
    this.#selfId = self.id;
    this.#settings = settings;
    this.#ports = ports;
    this.#accept(self);
  }

  get self(): Member {
    return this.members.get(this.#selfId) as Member;
  }

  /** Changes this daemon's own state and tells the fleet. */
  setOwnState(state: MemberState): void {
    this.#accept({ ...this.self, state, version: this.self.version + 1 });
  }

  /** Notes what this daemon carries; returns whether that is news, which the fleet is told. */
  setOwnLoad(load: number): boolean {
    if (load === this.self.load) return false;
    this.#accept({ ...this.self, load, version: this.self.version + 1 });
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

  /** Serving daemons that this daemon can reach itself; it is always one of them. */
  listReachable(): readonly Member[] {
    return this.listServing().filter((member) => !this.brokenLinks.has(member.id));
  }

  /**
   * Chooses the peer for the next exchange: every present peer once in random order, then anew.
   */
  chooseExchangePeer(): Member | undefined {
    if (this.#probeOrder.length === 0) this.#refillProbeOrder();
    const [nextId, ...rest] = this.#probeOrder;
    this.#probeOrder = rest;
    const next = nextId === undefined ? undefined : this.members.get(nextId);
    if (next && isPresent(next)) return next;
    return chooseOne(this.#ports.random, this.#listPartners());
  }

  /** Chooses a member believed dead, to find out whether a partition has healed. */
  chooseLostMember(): Member | undefined {
    const dead = this.members
      .list()
      .filter((member) => member.state === 'dead' && this.#isPartner(member));
    return chooseOne(this.#ports.random, dead);
  }

  /** Chooses peers that may reach a member that this daemon could not. */
  chooseHelpers(targetId: string, count: number): readonly Member[] {
    const candidates = this.#listPartners().filter((member) => member.id !== targetId);
    return chooseSome(this.#ports.random, candidates, count);
  }

  /** Grows with every change of the members or of the links to them. */
  get revision(): number {
    return this.members.revision + this.brokenLinks.revision;
  }

  /** Builds the member rows of the next message: the least told news first. */
  buildUpdates(): readonly Member[] {
    const chosen = [...this.#rumours.list()]
      .sort((left, right) => left.timesSent - right.timesSent)
      .slice(0, this.#settings.maxUpdatesPerMessage);
    chosen.forEach((rumour) => this.#recordSent(rumour));
    return chosen.flatMap((rumour) => this.members.get(rumour.id) ?? []);
  }

  hasNews(): boolean {
    return this.#rumours.size > 0;
  }

  /** Takes in what a peer says; refutes what is wrong about this daemon. */
  applyUpdates(updates: readonly Member[]): void {
    updates.forEach((update) => this.#applyUpdate(update));
  }

  /** Notes that a peer was heard directly: it lives, whatever others say. */
  recordHeard(id: string): void {
    this.brokenLinks.remove(id);
  }

  /** Notes that a peer answers others, but not this daemon. */
  recordBrokenLink(id: string): void {
    if (!this.brokenLinks.has(id)) this.brokenLinks.put({ id, at: this.#ports.clock.now() });
  }

  /** Notes that neither this daemon nor its helpers could reach a member. */
  recordUnreachable(id: string): void {
    const member = this.members.get(id);
    if (!member || !isPresent(member) || member.state === 'suspect') return;
    this.#accept({ ...member, state: 'suspect' });
  }

  /** Turns suspects that did not refute into dead members and forgets old tombstones. */
  runTick(): void {
    const now = this.#ports.clock.now();
    this.members.list().forEach((member) => this.#ageMember(member, now));
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
    if (update.incarnation !== self.incarnation || !isNewerMember(update, self)) return;
    this.#accept({ ...self, version: update.version + 1 });
  }

  #accept(member: Member): void {
    this.members.put(member);
    this.#rumours.put({ id: member.id, timesSent: 0 });
    this.#changedAt.put({ id: member.id, at: this.#ports.clock.now() });
  }

  #recordSent(rumour: Rumour): void {
    const timesSent = rumour.timesSent + 1;
    const limit = TRANSMISSIONS_PER_LOG2 * Math.ceil(Math.log2(this.members.size + 1));
    if (timesSent >= limit) this.#rumours.remove(rumour.id);
    else this.#rumours.put({ ...rumour, timesSent });
  }

  #ageMember(member: Member, now: number): void {
    const age = now - (this.#changedAt.get(member.id)?.at ?? now);
    if (member.state === 'suspect' && age >= this.#settings.suspicionMs) {
      this.#accept({ ...member, state: 'dead' });
      return;
    }
    if (!isPresent(member) && age >= this.#settings.tombstoneMs) this.#forget(member.id);
  }

  #forget(id: string): void {
    this.members.remove(id);
    this.#rumours.remove(id);
    this.#changedAt.remove(id);
    this.brokenLinks.remove(id);
  }

  #isPartner(member: Member): boolean {
    return this.#ports.isExchangePartner?.(member) ?? true;
  }

  /** Whoever is left where all partners are gone. */
  #listPartners(): readonly Member[] {
    const peers = this.listPeers();
    const partners = peers.filter((member) => this.#isPartner(member));
    return partners.length > 0 ? partners : peers;
  }

  #refillProbeOrder(): void {
    const peers = this.#listPartners();
    this.#probeOrder = chooseSome(this.#ports.random, peers, peers.length).map(({ id }) => id);
  }
}
