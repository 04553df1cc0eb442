/**
 * Keeps the membership current: one exchange with a peer each round, probes through helpers when
 * a peer does not answer, and now and then a word with the seeds and with members believed dead,
 * so that a healed partition is noticed.
 */
import { chooseOne, chooseSome } from '@baobabline/core';
import type {
  DocumentStore,
  DocumentVersion,
  Member,
  Membership,
  RandomSource,
} from '@baobabline/core';

import type { ExchangeAnswer, ExchangeMessage, ProbeRequest } from '../peers/messages.js';
import type { Endpoint } from '../settings/index.js';

/** The calls on a peer that gossip is made of. */
type GossipCalls = {
  readonly exchange: { readonly mutate: (message: ExchangeMessage) => Promise<ExchangeAnswer> };
  readonly probe: { readonly mutate: (target: ProbeRequest) => Promise<boolean> };
};

export type GossipPorts = {
  readonly membership: Membership;
  readonly documents: Pick<DocumentStore, 'listVersions' | 'getVersion'>;
  readonly client: { readonly connect: (endpoint: Endpoint) => GossipCalls };
  readonly random: RandomSource;
  readonly seeds: readonly Endpoint[];
  /** Called when a peer holds newer publications than this daemon. */
  readonly onNewerDocuments: (peer: Endpoint, versions: readonly DocumentVersion[]) => void;
  /** Called after each exchange that was answered. */
  readonly onHeard: () => void;
  /** The members that a daemon of a data centre is told of when it joins; all where absent. */
  readonly listForNewcomer?: (dataCentre: string) => readonly Member[];
};

const HELPERS = 2;
const ROUNDS_BETWEEN_SEEDS = 10;
/** Without news only every so many rounds bring an exchange. */
const CALM_ROUNDS = 3;
const NEWS_ROUNDS = 8;

function toEndpoint(member: Member): Endpoint {
  return { address: member.address, port: member.peerPort };
}

export class Gossip {
  readonly #ports: GossipPorts;

  #round = 0;

  #newsUntil = 0;

  readonly #phase: number;

  constructor(ports: GossipPorts) {
    this.#ports = ports;
    this.#phase = Math.floor(ports.random.next() * CALM_ROUNDS);
  }

  /** Runs one round; failures are noted in the membership, never thrown. */
  async runRound(): Promise<void> {
    this.#round += 1;
    this.#ports.membership.runTick();
    if (!this.#isRoundDue()) return;
    const peer = this.#ports.membership.chooseExchangePeer();
    const seedRound = this.#round % ROUNDS_BETWEEN_SEEDS === 0;
    await Promise.all([
      peer ? this.#exchangeOrSuspect(peer) : this.#exchangeWithSeed(),
      seedRound ? this.#exchangeWithLost() : undefined,
    ]);
  }

  /** Makes the next rounds quick, as after a new publication. */
  recordNews(): void {
    this.#newsUntil = this.#round + NEWS_ROUNDS;
  }

  #isRoundDue(): boolean {
    const hasNews = this.#ports.membership.hasPendingUpdates() || this.#round <= this.#newsUntil;
    const isSeedRound = this.#round % ROUNDS_BETWEEN_SEEDS === 0;
    return hasNews || isSeedRound || (this.#round + this.#phase) % CALM_ROUNDS === 0;
  }

  /** Asks seeds, one after the other, for all they know; resolves with whether any answered. */
  async join(): Promise<boolean> {
    const { random, seeds } = this.#ports;
    return this.#joinFirst(chooseSome(random, seeds, seeds.length));
  }

  async #joinFirst([first, ...rest]: readonly Endpoint[]): Promise<boolean> {
    if (!first) return false;
    const { membership } = this.#ports;
    const isAnswered = await this.#tryExchange(first, true);
    // The only seed that answers may be this daemon itself, or one that has just started as well.
    if (isAnswered && membership.listPeers().length > 0) {
      await Promise.all(rest.map((seed) => this.#tryExchange(seed, false)));
      return true;
    }
    return this.#joinFirst(rest);
  }

  /** Asks a daemon that may be no known member for all that it knows; resolves with whether it answered. */
  async exchangeWith(endpoint: Endpoint): Promise<boolean> {
    return this.#tryExchange(endpoint, true);
  }

  /** Tells some peers at once, as of leaving. */
  async announce(count: number): Promise<void> {
    const { membership } = this.#ports;
    const peers = membership.chooseRandomPeers(membership.self.id, count);
    await Promise.all(peers.map((peer) => this.#tryExchange(toEndpoint(peer), false)));
  }

  /** Answers a peer's exchange. */
  handleExchange(message: ExchangeMessage): ExchangeAnswer {
    this.#applyMessage(message);
    const { membership, listForNewcomer } = this.#ports;
    const { id, dataCentre } = message.from;
    if (!message.wantsAll)
      return this.#buildAnswer(this.#addDoubted(membership.buildUpdates(), id));
    const members = listForNewcomer?.(dataCentre) ?? membership.members.list();
    return this.#buildAnswer(this.#addDoubted(members, id));
  }

  /** Probes a member for a peer that could not reach it. */
  async handleProbe(request: ProbeRequest): Promise<boolean> {
    return this.#tryExchange(request, false);
  }

  #buildAnswer(updates: readonly Member[]): ExchangeAnswer {
    return {
      from: this.#ports.membership.self,
      updates: [...updates],
      versions: [...this.#ports.documents.listVersions()],
    };
  }

  /**
   * A member that is believed dead or suspect is told so whenever it is spoken to, however often the
   * news has been sent: only the member itself can refute it.
   */
  #addDoubted(updates: readonly Member[], id: string): readonly Member[] {
    const believed = this.#ports.membership.members.get(id);
    const isDoubted = believed?.state === 'dead' || believed?.state === 'suspect';
    return !isDoubted || updates.includes(believed) ? updates : [...updates, believed];
  }

  async #exchangeOrSuspect(peer: Member): Promise<void> {
    const reached = await this.#exchangeWithMember(peer, false);
    if (reached) {
      this.#ports.membership.recordDirectContact(peer.id);
      return;
    }
    const reachedByOthers = await this.#probeThroughHelpers(peer);
    if (reachedByOthers) this.#ports.membership.recordBrokenLink(peer.id);
    else this.#ports.membership.recordUnreachable(peer.id);
  }

  async #probeThroughHelpers(peer: Member): Promise<boolean> {
    const helpers = this.#ports.membership.chooseRandomPeers(peer.id, HELPERS);
    const results = await Promise.all(
      helpers.map((helper) =>
        this.#ports.client
          .connect(toEndpoint(helper))
          .probe.mutate(toEndpoint(peer))
          .catch(() => false),
      ),
    );
    return results.some(Boolean);
  }

  async #exchangeWithSeed(): Promise<void> {
    const seed = chooseOne(this.#ports.random, this.#ports.seeds);
    // Who knows others needs no more than a word, so that bytes do not grow with the fleet.
    const isAlone = this.#ports.membership.listPeers().length === 0;
    if (seed) await this.#tryExchange(seed, isAlone);
  }

  async #exchangeWithLost(): Promise<void> {
    const lost = this.#ports.membership.chooseDeadMember();
    await (lost ? this.#exchangeWithMember(lost, true) : this.#exchangeWithSeed());
  }

  async #exchangeWithMember(member: Member, wantsAll: boolean): Promise<boolean> {
    const updates = this.#addDoubted(this.#ports.membership.buildUpdates(), member.id);
    return this.#tryExchange(toEndpoint(member), wantsAll, updates);
  }

  async #tryExchange(
    target: Endpoint,
    wantsAll: boolean,
    updates = this.#ports.membership.buildUpdates(),
  ): Promise<boolean> {
    const { client, membership, onHeard } = this.#ports;
    try {
      const answer = await client.connect(target).exchange.mutate({
        ...this.#buildAnswer(updates),
        wantsAll,
      });
      this.#applyMessage(answer);
      if (answer.from.id !== membership.self.id) onHeard();
      return true;
    } catch {
      return false;
    }
  }

  #applyMessage({ from, updates, versions }: ExchangeAnswer): void {
    const { membership, documents, onNewerDocuments } = this.#ports;
    membership.applyUpdates([from, ...updates]);
    membership.recordDirectContact(from.id);
    const newer = versions.filter(({ id, version }) => version > documents.getVersion(id));
    if (newer.length > 0) onNewerDocuments(toEndpoint(from), newer);
  }
}
