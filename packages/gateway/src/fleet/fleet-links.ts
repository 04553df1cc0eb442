/**
 * The daemon's ties to the other daemons: membership by gossip, the dispatchers that it follows,
 * and the calls between them.
 */
import {
  chooseDispatchers,
  chooseForCaller,
  chooseForCallers,
  computeCapacity,
  rankDispatchers,
  DEFAULT_MEMBERSHIP_SETTINGS,
  hashText,
  Membership,
} from '@baobabline/core';
import type { Changes, Clock, Member, RandomSource } from '@baobabline/core';
import { Gossip, PeerClients } from '@baobabline/daemon';
import type { Log } from '@baobabline/daemon';

import { HttpCalls } from '../http/index.js';
import type { CallAnswer } from '../http/index.js';
import { PeerFollower } from '../knowledge/index.js';
import { FOLLOW_PATH, followAnswerSchema } from '../peers/index.js';
import type { FollowAnswer, FollowRequest, GatewayPeerRouter } from '../peers/index.js';
import type { GatewaySettings } from '../settings/index.js';

export type FleetPorts = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly settings: GatewaySettings;
  readonly getRevision: () => number;
  /** Whether the store does not answer this daemon. */
  readonly isStoreAway: () => boolean;
  readonly onChanges: (changes: Changes) => void;
};

/** A round of gossip; in calm only each third brings an exchange. */
const GOSSIP_MS = 700;
const ANNOUNCE_TO = 6;
/** Daemons that a reader follows besides while the store does not answer it. */
const HELPERS_WITHOUT_STORE = 2;
const KEEP_ALIVE_MS = 30_000;
const CALL_TIMEOUT_MS = 700;
/** What an answer may take beyond the time that it was asked to wait. */
const FOLLOW_GRACE_MS = 400;
const OK_STATUS = 200;

/** Gossip here carries members alone; records travel by following. */
const NO_DOCUMENTS = { listVersions: () => [], getVersion: () => 0 };

export class FleetLinks {
  readonly membership: Membership;

  readonly gossip: Gossip;

  readonly follower: PeerFollower;

  readonly #ports: FleetPorts;

  readonly #calls = new HttpCalls({ connections: 2, keepAliveMs: KEEP_ALIVE_MS });

  readonly #client = new PeerClients<GatewayPeerRouter>(async (url, body) =>
    this.#sendCall(url, body),
  );

  #timer: NodeJS.Timeout | undefined;

  constructor(ports: FleetPorts) {
    this.#ports = ports;
    const { clock, random, settings } = ports;
    this.membership = new Membership(this.#createSelf(), DEFAULT_MEMBERSHIP_SETTINGS, {
      clock,
      random,
    });
    this.gossip = new Gossip({
      membership: this.membership,
      documents: NO_DOCUMENTS,
      client: this.#client,
      random,
      seeds: settings.seeds,
      onNewerDocuments: () => undefined,
      onHeard: () => undefined,
    });
    this.follower = this.#createFollower();
  }

  /** Whether callers are sent to this daemon. */
  get isDispatcher(): boolean {
    const { id, dataCentre } = this.#ports.settings;
    const dispatchers = chooseDispatchers(this.#listCandidates(), dataCentre, this.#count);
    return dispatchers.some((member) => member.id === id);
  }

  /** Whether this daemon reads the store for those that follow it. */
  get isReader(): boolean {
    const { id, dataCentre } = this.#ports.settings;
    return this.#listReaders(dataCentre).some((member) => member.id === id);
  }

  start(): void {
    this.#timer = setInterval(() => {
      // Rounds note their failures in the membership.
      this.gossip.runRound().catch(() => undefined);
    }, GOSSIP_MS);
  }

  async announceState(state: 'serving' | 'leaving' | 'left'): Promise<void> {
    this.membership.setOwnState(state);
    await this.gossip.announce(ANNOUNCE_TO);
  }

  /** Tells the fleet what this daemon carries, if that is news. */
  announceLoad(load: number): void {
    if (!this.membership.setOwnLoad(load)) return;
    this.gossip
      .announce(ANNOUNCE_TO)
      .catch((error: Error) =>
        this.#ports.log.warn('announcement-failed', { reason: error.message }),
      );
  }

  /** The dispatchers that a caller in a data centre is sent to. */
  listForCaller(dataCentre: string, caller: string): readonly Member[] {
    const dispatchers = chooseForCallers(this.#listCandidates(), dataCentre, this.#count);
    return chooseForCaller(dispatchers, caller, hashText);
  }

  /** Members by state, as this daemon sees them. */
  countMembers(): ReadonlyMap<string, number> {
    const states = this.membership.members.list().map(({ state }) => state);
    return new Map(
      [...new Set(states)].map((state) => [state, states.filter((one) => one === state).length]),
    );
  }

  /** Dispatchers of all data centres but this daemon. */
  listOtherDispatchers(): readonly Member[] {
    const candidates = this.#listCandidates();
    const dataCentres = [...new Set(candidates.map(({ dataCentre }) => dataCentre))];
    return dataCentres
      .flatMap((dataCentre) => chooseDispatchers(candidates, dataCentre, this.#count))
      .filter(({ id }) => id !== this.#ports.settings.id);
  }

  close(): void {
    clearInterval(this.#timer);
    this.follower.stop();
    this.#calls.close();
  }

  get #count(): number {
    return this.#ports.settings.dispatchersPerDataCentre;
  }

  async #sendCall(url: string, body: string): Promise<CallAnswer> {
    return this.#calls.send({ url, method: 'POST', body, timeoutMs: CALL_TIMEOUT_MS });
  }

  #createSelf(): Member {
    const { id, dataCentre, callers, peers, machine } = this.#ports.settings;
    return {
      id,
      dataCentre,
      address: callers.address,
      peerPort: peers.port,
      callerPort: callers.port,
      incarnation: Date.now(),
      version: 1,
      state: 'joining',
      capacity: computeCapacity(machine),
      load: 0,
    };
  }

  async #followMember(
    { address, peerPort }: Member,
    request: FollowRequest,
  ): Promise<FollowAnswer> {
    const { status, text } = await this.#calls.send({
      url: `http://${address}:${peerPort}${FOLLOW_PATH}`,
      method: 'POST',
      body: JSON.stringify(request),
      timeoutMs: request.waitMs + FOLLOW_GRACE_MS,
    });
    if (status !== OK_STATUS) throw new Error(`the dispatcher answered ${status}`);
    return followAnswerSchema.parse(JSON.parse(text));
  }

  #listCandidates(): readonly Member[] {
    return this.membership.listReachable();
  }

  /** The daemons of a data centre that read the store: few, whatever the load. */
  #listReaders(dataCentre: string): readonly Member[] {
    return rankDispatchers(this.#listCandidates(), dataCentre).slice(0, this.#count);
  }

  /** Readers follow all others, so that the loss of the store's path costs them nothing. */
  #listFollowed(): readonly Member[] {
    const { dataCentre } = this.#ports.settings;
    if (!this.isReader) return this.#listReaders(dataCentre).filter((one) => !this.#isSelf(one));
    const dataCentres = [...new Set(this.#listCandidates().map((one) => one.dataCentre))];
    const readers = dataCentres.flatMap((name) => this.#listReaders(name));
    const others = readers.filter((one) => !this.#isSelf(one));
    if (!this.#ports.isStoreAway()) return others;
    // All readers may be cut off from the store; their followers then read it themselves.
    const count = this.#count + HELPERS_WITHOUT_STORE;
    const helpers = rankDispatchers(this.#listCandidates(), dataCentre).slice(0, count);
    return [...others, ...helpers.filter((one) => !this.#isSelf(one))];
  }

  #isSelf({ id }: Member): boolean {
    return id === this.#ports.settings.id;
  }

  #createFollower(): PeerFollower {
    const { clock, log, getRevision, onChanges } = this.#ports;
    return new PeerFollower({
      clock,
      log,
      getRevision,
      onChanges,
      listDispatchers: () => this.#listFollowed(),
      follow: async (member, revision, waitMs) => this.#followMember(member, { revision, waitMs }),
      onHeard: (member) => this.#handleHeard(member),
      onLost: (member, reason) => this.#handleLost(member, reason),
    });
  }

  #handleHeard(member: Member): void {
    this.membership.recordHeard(member.id);
    this.membership.applyUpdates([member]);
  }

  #handleLost({ id }: Member, reason: string): void {
    if (!this.membership.brokenLinks.has(id)) {
      this.#ports.log.warn('dispatcher-lost', { peer: id, reason });
    }
    this.membership.recordBrokenLink(id);
  }
}
