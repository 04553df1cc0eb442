/**
 * A daemon's links to the rest of the fleet: membership by gossip, the roles of reader and
 * dispatcher, and the announcement of this daemon's state and load.
 */
import {
  chooseDispatchersForCaller,
  computeCapacity,
  computeExpectedFleetSize,
  CUT_OFF_CAPACITY,
  DEFAULT_MEMBERSHIP_SETTINGS,
  FleetRoles,
  hashText,
  Membership,
} from '@baobabline/core';
import type { Clock, Member, RandomSource } from '@baobabline/core';
import { Gossip } from '@baobabline/daemon';
import type { Endpoint, ExchangeAnswer, Log } from '@baobabline/daemon';

import { exchangeRowsSchema, formatExchange, parseExchange } from '../datagrams/index.js';
import type { FleetSocket } from '../datagrams/index.js';
import type { HttpClient } from '../http/index.js';
import { MEMBERS_PATH } from '../peers/index.js';
import type { PeerHandlers } from '../peers/index.js';
import type { GatewaySettings } from '../settings/index.js';
import { DatagramCalls } from './datagram-calls.js';

export type FleetLinksDependencies = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly settings: GatewaySettings;
  readonly socket: FleetSocket;
  readonly calls: HttpClient;
  /** Records bytes of membership traffic sent to a daemon. */
  readonly onSent: (address: string, bytes: number) => void;
};

/** Interval of gossip rounds; without updates only every third round makes an exchange. */
const GOSSIP_MS = 700;
/** Members told at once that this daemon leaves; the others learn of it by gossip. */
const MAX_STATE_RECIPIENTS = 64;
/** Members told at once that this daemon serves, or of its load. */
const MAX_UPDATE_RECIPIENTS = 6;
/** Enough for a joining daemon to know the readers, dispatchers and spares of other data centres. */
const TOP_RANKED_PER_DATA_CENTRE = 6;
/** While no other daemon is known, as in a fleet that starts whole, the seeds are asked again so soon. */
const JOIN_RETRY_MS = 100;
/** After these, gossip rounds go on asking. */
const JOIN_RETRIES = 50;
const CALL_TIMEOUT_MS = 700;
const OK_STATUS = 200;

/** Gossip of the gateway carries members only; records are replicated by `RecordExchange`. */
const NO_DOCUMENTS = { listVersions: () => [], getVersion: () => 0 };

export class FleetLinks {
  readonly membership: Membership;

  readonly roles: FleetRoles;

  readonly gossip: Gossip;

  readonly #dependencies: FleetLinksDependencies;

  readonly #datagramCalls: DatagramCalls;

  #timer: NodeJS.Timeout | undefined;

  #joinTimer: NodeJS.Timeout | undefined;

  #isClosed = false;

  #dataCentreByAddress: ReadonlyMap<string, string> = new Map();

  #mappedMemberCount = -1;

  #expectedSize = { revision: -1, count: 0 };

  constructor(dependencies: FleetLinksDependencies) {
    this.#dependencies = dependencies;
    const { clock, random, settings } = dependencies;
    this.membership = new Membership(this.#createSelf(), DEFAULT_MEMBERSHIP_SETTINGS, {
      clock,
      random,
      isExchangePartner: (member) => this.roles.isExchangePartner(member),
    });
    this.roles = new FleetRoles(settings, settings.dispatchersPerDataCentre, {
      clock,
      getRevision: () => this.membership.revision,
      listCandidates: () => this.#listCandidates(),
    });
    this.#datagramCalls = new DatagramCalls({
      socket: dependencies.socket,
      fetchMembers: async (endpoint, message) => this.#fetchMembers(endpoint, message),
      handlers: () => this.handlers,
    });
    this.gossip = new Gossip({
      membership: this.membership,
      documents: NO_DOCUMENTS,
      client: this.#datagramCalls,
      random,
      seeds: settings.seeds,
      onNewerDocuments: () => undefined,
      onHeard: () => undefined,
      listForNewcomer: (dataCentre) => this.#listForNewcomer(dataCentre),
    });
  }

  /** Handlers for the calls of other daemons. */
  get handlers(): PeerHandlers {
    return {
      exchange: (message) => this.gossip.handleExchange(message),
      probe: async (target) => this.gossip.handleProbe(target),
    };
  }

  /** Whether this daemon is a dispatcher, to which callers send their requests. */
  get isDispatcher(): boolean {
    const { id, dataCentre } = this.#dependencies.settings;
    return this.roles.listDispatchers(dataCentre).some((member) => member.id === id);
  }

  start(): void {
    this.#timer = setInterval(() => {
      // A round records its failures in the membership.
      this.gossip.runRound().catch(() => undefined);
    }, GOSSIP_MS);
  }

  /** Asks the seeds for the fleet. If no other daemon replies, goes on in the background. */
  async join(): Promise<void> {
    await this.gossip.join();
    this.#scheduleJoin(JOIN_RETRIES);
  }

  /** Asks a daemon for all members that is known by its address only; daemons use the same port. */
  askForMembers(address: string): void {
    const { port } = this.#dependencies.settings.peers;
    this.gossip.exchangeWith({ address, port }).catch(() => undefined);
  }

  async announceState(state: 'serving' | 'leaving' | 'left'): Promise<void> {
    this.membership.setOwnState(state);
    await this.gossip.announce(state === 'serving' ? MAX_UPDATE_RECIPIENTS : MAX_STATE_RECIPIENTS);
  }

  /** Announces this daemon's load to the fleet if it has changed. */
  announceLoad(load: number): void {
    if (!this.membership.setOwnLoad(load)) return;
    this.gossip
      .announce(MAX_UPDATE_RECIPIENTS)
      .catch((error: Error) =>
        this.#dependencies.log.warn('announcement-failed', { reason: error.message }),
      );
  }

  /** Announces at once what this daemon can handle now; `undefined` stands for all that its VM can. */
  announceCapacity(capacity = computeCapacity(this.#dependencies.settings.machine)): void {
    if (!this.membership.setOwnCapacity(capacity)) return;
    this.gossip
      .announce(MAX_STATE_RECIPIENTS)
      .catch((error: Error) =>
        this.#dependencies.log.warn('announcement-failed', { reason: error.message }),
      );
  }

  /** Whether another daemon of this data centre has lost its links to the upstreams. */
  get hasCutOffNeighbour(): boolean {
    const { id: ownId, dataCentre } = this.membership.self;
    return this.membership
      .listServing()
      .some(
        (one) =>
          one.dataCentre === dataCentre && one.id !== ownId && one.capacity === CUT_OFF_CAPACITY,
      );
  }

  /** The dispatchers for a caller: those of its data centre or, if there are none, of all others. */
  listDispatchersForCaller(dataCentre: string, caller: string): readonly Member[] {
    const near = this.roles.listDispatchers(dataCentre);
    const dispatchers = near.length > 0 ? near : this.roles.listAllDispatchers();
    return chooseDispatchersForCaller(dispatchers, caller, hashText);
  }

  /**
   * The daemons that have to know of this one's requests at upstreams: the other dispatchers, and those
   * that leave, since callers send to them until their directory answers expire.
   */
  listReportRecipients(): readonly Member[] {
    const { members, self } = this.membership;
    const leaving = members.list().filter(({ id, state }) => state === 'leaving' && id !== self.id);
    return [...this.roles.listOtherDispatchers(), ...leaving];
  }

  /**
   * The daemons of this data centre, which may all get requests of callers, and the dispatchers of
   * the others.
   */
  listNearAndDispatchers(): readonly Member[] {
    const { id: ownId, dataCentre } = this.membership.self;
    const near = this.membership.listPresent().filter((one) => one.dataCentre === dataCentre);
    const far = this.roles.listOtherDispatchers().filter((one) => one.dataCentre !== dataCentre);
    return [...near.filter(({ id }) => id !== ownId), ...far];
  }

  /** Counts the members by state, according to this daemon's view. */
  countMembers(): ReadonlyMap<string, number> {
    const states = this.membership.members.list().map(({ state }) => state);
    return new Map(
      [...new Set(states)].map((state) => [state, states.filter((one) => one === state).length]),
    );
  }

  /** Counts the daemons that may exist, those included that this daemon does not know yet. */
  countExpectedDaemons(): number {
    const { members } = this.membership;
    if (this.#expectedSize.revision !== members.revision) {
      const count = computeExpectedFleetSize(members.list());
      this.#expectedSize = { revision: members.revision, count };
    }
    return this.#expectedSize.count;
  }

  /** Whether the daemon at an address is in this daemon's data centre. */
  isNear(address: string): boolean {
    const { members } = this.membership;
    if (this.#mappedMemberCount !== members.size) {
      this.#mappedMemberCount = members.size;
      this.#dataCentreByAddress = new Map(
        members.list().map((one) => [one.address, one.dataCentre]),
      );
    }
    return this.#dataCentreByAddress.get(address) === this.#dependencies.settings.dataCentre;
  }

  recordHeard(id: string): void {
    this.membership.recordDirectContact(id);
  }

  /** Records that a followed daemon does not answer this one; logs only the first time. */
  recordLost(id: string, reason: string): void {
    if (!this.membership.brokenLinks.has(id)) {
      this.#dependencies.log.warn('reader-lost', { peer: id, reason });
    }
    this.membership.recordBrokenLink(id);
  }

  close(): void {
    this.#isClosed = true;
    clearInterval(this.#timer);
    clearTimeout(this.#joinTimer);
  }

  #scheduleJoin(retriesLeft: number): void {
    if (this.#isClosed || retriesLeft === 0 || this.membership.listPeers().length > 0) return;
    this.#joinTimer = setTimeout(() => {
      const scheduleNext = (): void => this.#scheduleJoin(retriesLeft - 1);
      this.gossip.join().then(scheduleNext, scheduleNext);
    }, JOIN_RETRY_MS);
  }

  async #fetchMembers(
    { address, port }: Endpoint,
    message: ExchangeAnswer,
  ): Promise<ExchangeAnswer> {
    const body = JSON.stringify(formatExchange(message));
    this.#dependencies.onSent(address, body.length);
    const { status, text } = await this.#dependencies.calls.send({
      url: `http://${address}:${port}${MEMBERS_PATH}`,
      method: 'POST',
      body,
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (status !== OK_STATUS) throw new Error(`peer responded with status ${status}`);
    return parseExchange(exchangeRowsSchema.parse(JSON.parse(text)));
  }

  #createSelf(): Member {
    const { id, dataCentre, callers, peers, machine } = this.#dependencies.settings;
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

  /** Daemons that can take a role: those that serve or are joining, without broken links. */
  #listCandidates(): readonly Member[] {
    const { members, brokenLinks } = this.membership;
    return members
      .list()
      .filter(({ id, state }) => ['joining', 'serving'].includes(state) && !brokenLinks.has(id));
  }

  #listForNewcomer(dataCentre: string): readonly Member[] {
    const near = this.membership.members.list().filter((one) => one.dataCentre === dataCentre);
    const far = this.roles.listTopRanked(TOP_RANKED_PER_DATA_CENTRE);
    return [...near, ...far.filter((one) => one.dataCentre !== dataCentre), this.membership.self];
  }
}
