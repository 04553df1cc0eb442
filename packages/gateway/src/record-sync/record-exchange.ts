/**
 * Keeps the replica up to date, from the store if this daemon reads it and from the readers
 * otherwise, and sends the changes to other daemons. The `readerCount` top ranked daemons of each
 * data centre are its readers. A reader that gets no answer from the store asks the next daemons in
 * rank to read as its helpers, and follows the readers of the other data centres.
 *
 * A daemon whose readers are silent reads the store itself, whoever ranks before it (see
 * `StoreFallback`), and sends what it has read to the daemons of its data centre. These follow it as
 * a substitute until a reader answers again.
 */
import {
  findKnownRevision,
  Freshness,
  isPresent,
  RECORD_FORMAT,
  StoreFallback,
  StoreOutages,
} from '@baobabline/core';
import type {
  RecordChanges,
  Clock,
  FallbackSituation,
  FreshnessClaim,
  KnownRevisions,
  Member,
  RandomSource,
  Replica,
} from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

import type { FleetSocket } from '../datagrams/index.js';
import type { RecordSource } from '../dialect/index.js';
import type { FleetLinks } from '../fleet/index.js';
import type { HttpClient } from '../http/index.js';
import { changesSchema, RECORDS_PATH } from '../peers/index.js';
import { parseRecordUpdate, parsePoll } from './messages.js';
import type { Poll, RecordUpdate } from './messages.js';
import { PeerFollower } from './peer-follower.js';
import type { FollowedReader } from './peer-follower.js';
import type { PeerFormats } from './peer-formats.js';
import type { ReaderRanks } from './reader-ranks.js';
import { ReaderSubstitute } from './reader-substitute.js';
import { RecordFeed } from './record-feed.js';
import { StoreReader } from './store-reader.js';
import type { StoreConfirmations } from './store-reader.js';

export type RecordExchangeDependencies = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly selfId: string;
  readonly dataCentre: string;
  /** Number of readers per data centre. */
  readonly readerCount: number;
  readonly replica: Replica;
  readonly source: RecordSource;
  /** How often upstreams register again, in milliseconds. */
  readonly registrationIntervalMs: number;
  readonly confirmations: StoreConfirmations;
  readonly fleet: Pick<FleetLinks, 'membership' | 'isNear' | 'recordHeard' | 'recordLost'>;
  readonly formats: PeerFormats;
  readonly ranks: ReaderRanks;
  readonly socket: Pick<FleetSocket, 'setHandler' | 'send'>;
  readonly calls: Pick<HttpClient, 'send'>;
  readonly onChanged: () => void;
};

const NEAR_POLL_MS = 400;
/** Readers of different data centres need each other only if the store rejects one of them. */
const FAR_POLL_MS = 1000;
/** A helper reads on for a few poll intervals after the last request for help. */
const HELP_DURATION_MS = 1500;
const FETCH_TIMEOUT_MS = 700;
const OK_STATUS = 200;

export class RecordExchange {
  readonly #dependencies: RecordExchangeDependencies;

  readonly #freshness: Freshness;

  readonly #fallback: StoreFallback;

  readonly #outages: StoreOutages;

  readonly #reader: StoreReader;

  readonly #feed: RecordFeed;

  readonly #follower: PeerFollower;

  /** Since when it relies on other daemons; its start, or the end of a role as reader or helper. */
  #waitsSince = 0;

  #helpsUntil = Number.NEGATIVE_INFINITY;

  readonly #substitute = new ReaderSubstitute();

  /** Whether the neighbours were told of what it read for want of a reader. */
  #hasSentRead = false;

  #knownBeforeRead: KnownRevisions = [];

  constructor(dependencies: RecordExchangeDependencies) {
    this.#dependencies = dependencies;
    this.#fallback = new StoreFallback(dependencies.random);
    this.#freshness = new Freshness(dependencies.selfId);
    this.#outages = new StoreOutages(dependencies, dependencies.clock);
    this.#reader = this.#createReader();
    this.#feed = this.#createFeed();
    this.#follower = this.#createFollower();
    dependencies.socket.setHandler('poll', (body, sender) =>
      this.#handlePoll(parsePoll(body), sender),
    );
    dependencies.socket.setHandler('news', (body) => {
      const news = parseRecordUpdate(body);
      if (news) this.#handleUpdate(news);
      return news !== undefined;
    });
  }

  /** Whether the last call to the store failed. */
  get isStoreAway(): boolean {
    return this.#reader.isAway;
  }

  start(): void {
    this.#waitsSince = this.#dependencies.clock.now();
    this.#reader.start();
  }

  stop(): void {
    this.#reader.stop();
    this.#feed.stop();
  }

  runTick(): void {
    const { replica, clock, formats, fleet } = this.#dependencies;
    replica.runTick(clock.now());
    this.#outages.runTick();
    formats.keep(fleet.membership.members.list());
    this.#follower.runTick();
  }

  /** Lists the changes that a daemon with this knowledge lacks. */
  listChangesSince(known: KnownRevisions): RecordChanges & { readonly format: number } {
    return { ...this.#dependencies.replica.listChangesSince(known), format: RECORD_FORMAT };
  }

  /**
   * Whether the daemon at an address decodes records as this one does. One that has not said so yet is
   * asked, and is no source until then.
   */
  isSource(address: string): boolean {
    const { formats, fleet } = this.#dependencies;
    const member = fleet.membership.members.list().find((one) => one.address === address);
    if (!member) return false;
    const format = formats.judge(member);
    if (format === 'unknown') this.#follower.fetchFrom(member);
    return format === 'same';
  }

  get #isReader(): boolean {
    return this.#dependencies.ranks.isReader;
  }

  /** Whether it reads the store for want of a reader, and not by its role. */
  get #isFallingBack(): boolean {
    return !this.#isReader && !this.#isAsked && this.#fallback.isReading;
  }

  /** Whether other daemons have asked it to read for them. */
  get #isAsked(): boolean {
    return this.#dependencies.clock.now() < this.#helpsUntil;
  }

  get #needsHelpers(): boolean {
    return this.#isReader && this.#reader.isAway;
  }

  #shouldRead(): boolean {
    const now = this.#dependencies.clock.now();
    if (!this.#isReader && !this.#isAsked && !this.#dependencies.ranks.lacksReader) {
      return this.#fallback.shouldRead(this.#describeSituation(), now);
    }
    this.#waitsSince = now;
    this.#resetFallback();
    return true;
  }

  #resetFallback(): void {
    this.#fallback.reset();
    this.#hasSentRead = false;
  }

  #describeSituation(): FallbackSituation {
    const { ranks, readerCount } = this.#dependencies;
    return {
      staleSince: this.#freshness.computeStaleSince(this.#waitsSince),
      isNext: this.#freshness.hasClaim && ranks.ownRank === readerCount,
      candidates: ranks.listNear().length,
      isStarting: !this.#freshness.hasClaim,
    };
  }

  #getIdleMs(): number {
    const readAt = this.#fallback.computeReadAt(this.#describeSituation());
    return Math.max(1, readAt - this.#dependencies.clock.now());
  }

  /** All daemons of this data centre but this one, also those that it cannot reach. */
  #listNeighbours(): readonly Member[] {
    const { fleet, dataCentre, selfId } = this.#dependencies;
    return fleet.membership.members
      .list()
      .filter((one) => isPresent(one) && one.dataCentre === dataCentre && one.id !== selfId);
  }

  /** Sends the neighbours what this daemon knows beyond `base`, and how fresh it is. */
  #notifyNeighbours(base: KnownRevisions): void {
    const addresses = this.#listNeighbours().map(({ address }) => address);
    this.#feed.notify(addresses, base);
  }

  /** Says that this daemon reads for want of a reader; its claim shows that it had no answer yet. */
  #handleCall(): void {
    const { replica } = this.#dependencies;
    if (!this.#isFallingBack || this.#hasSentRead) return;
    this.#knownBeforeRead = replica.known;
    this.#notifyNeighbours(replica.known);
  }

  #handleRead(): void {
    const { clock } = this.#dependencies;
    this.#freshness.recordRead(clock.now());
    if (!this.#isFallingBack || this.#hasSentRead) return;
    this.#hasSentRead = true;
    this.#notifyNeighbours(this.#knownBeforeRead);
  }

  #handleClaim(claim: FreshnessClaim, senderId: string): void {
    const { clock, selfId } = this.#dependencies;
    const now = clock.now();
    if (claim.sourceId !== selfId) this.#outages.recordServed(now - Math.max(0, claim.ageMs));
    if (this.#freshness.recordClaim(claim, now, senderId)) this.#resetFallback();
  }

  /** Takes an update of a followed reader, or of a neighbour that reads for want of a reader. */
  #handleUpdate(news: RecordUpdate): void {
    const { clock, fleet, dataCentre, selfId, formats } = this.#dependencies;
    const now = clock.now();
    const isFollowed = this.#follower.isFollowing(news.id);
    const sender = fleet.membership.members.get(news.id);
    if (sender && formats.judge(sender) === 'foreign') return;
    const isNeighbour = sender?.dataCentre === dataCentre;
    const hasRead = news.claim?.sourceId === news.id && this.#freshness.isFresh(news.claim);
    const isOverdue = !news.claim || this.#freshness.isOverdue(news.claim);
    if (!isFollowed && isNeighbour && !hasRead && isOverdue) {
      this.#fallback.recordReader(news.id, now);
    }
    this.#substitute.recordHeard(news.id, now);
    // A daemon that reads itself leaves it to those with a lower id.
    const isBehindSelf = this.#isFallingBack && selfId < news.id;
    if (!isFollowed && isNeighbour && hasRead && !isBehindSelf) {
      this.#substitute.offer(news.id, now);
    }
    this.#follower.handleUpdate(news, isNeighbour && hasRead ? sender : undefined);
  }

  /** The substitute, if there is one and no reader answers. */
  #findSubstitute(readers: readonly Member[]): Member | undefined {
    const { clock, fleet } = this.#dependencies;
    const substituteId = this.#substitute.find(clock.now());
    if (substituteId === undefined) return undefined;
    if (readers.some(({ id }) => this.#follower.isAnswering(id))) return undefined;
    return fleet.membership.members.get(substituteId);
  }

  #listFollowedReaders(): readonly FollowedReader[] {
    const { ranks, selfId, readerCount } = this.#dependencies;
    const near = ranks.listNear().filter(({ id }) => id !== selfId);
    const needsHelp = this.#needsHelpers;
    const follow = (member: Member): FollowedReader => ({
      member,
      pollMs: NEAR_POLL_MS,
      wantsPush: true,
      needsHelp,
    });
    if (!this.#isReader) {
      const readers = near.slice(0, readerCount);
      const substitute = this.#findSubstitute(readers);
      const followed = readers.map(follow);
      if (!substitute || readers.includes(substitute)) return followed;
      return [...followed, { ...follow(substitute), needsHelp: true }];
    }
    const far = ranks.listFarReaders();
    if (needsHelp) return [...this.#listHelpers(near), ...far].map(follow);
    return far.map((member) => ({
      member,
      pollMs: FAR_POLL_MS,
      wantsPush: false,
      needsHelp: false,
    }));
  }

  /** The next daemons in rank, and the one whose read is behind the latest claim, at any rank. */
  #listHelpers(near: readonly Member[]): readonly Member[] {
    const now = this.#dependencies.clock.now();
    const count = this.#freshness.countHelpers(now, this.#reader.awayMs);
    return near.filter(({ id }, place) => place < count || id === this.#freshness.sourceId);
  }

  #handlePoll(poll: Poll | undefined, sender: string): boolean {
    if (!poll) return false;
    const { clock, fleet } = this.#dependencies;
    const isNear = fleet.isNear(sender);
    if (poll.needsHelpers && isNear) this.#helpsUntil = clock.now() + HELP_DURATION_MS;
    this.#feed.handlePoll(poll, sender);
    this.#fetchLostSpan(poll);
    return true;
  }

  /**
   * Fetches what the sender of a poll knows of eras before the newest one. A daemon that began to read
   * after a restore finds none of it in the store.
   */
  #fetchLostSpan({ id, known }: Poll): void {
    const { replica, fleet } = this.#dependencies;
    const isBehind = known.some(
      ([era, revision]) =>
        era < (replica.era ?? 0) && revision > findKnownRevision(replica.known, era),
    );
    const member = isBehind ? fleet.membership.members.get(id) : undefined;
    if (member) this.#follower.fetchLostSpan(member);
  }

  #applyChanges(changes: RecordChanges): void {
    const { replica, clock, onChanged } = this.#dependencies;
    replica.applyChanges(changes, clock.now());
    this.#feed.announce();
    onChanged();
  }

  /** Throws an error if the daemon decodes records in another way. */
  async #fetchChanges(member: Member, known: KnownRevisions): Promise<RecordChanges> {
    const { address, peerPort } = member;
    const { status, text } = await this.#dependencies.calls.send({
      url: `http://${address}:${peerPort}${RECORDS_PATH}`,
      method: 'POST',
      body: JSON.stringify({ known }),
      timeoutMs: FETCH_TIMEOUT_MS,
    });
    if (status !== OK_STATUS) throw new Error(`peer responded with status ${status}`);
    const { completeAt, format, ...changes } = changesSchema.parse(JSON.parse(text));
    this.#dependencies.formats.record(member, format);
    if (format !== RECORD_FORMAT) throw new Error(`peer has record format ${format ?? 'none'}`);
    return { ...changes, completeAt };
  }

  #createReader(): StoreReader {
    const { clock, random, log, replica, source, confirmations, onChanged } = this.#dependencies;
    return new StoreReader({
      clock,
      random,
      log,
      replica,
      source,
      outages: this.#outages,
      confirmations,
      shouldRead: () => this.#shouldRead(),
      getIdleMs: () => this.#getIdleMs(),
      onCall: () => this.#handleCall(),
      onChanged: () => {
        this.#feed.announce();
        onChanged();
      },
      onRead: () => this.#handleRead(),
      // Polls now rather than at the next tick, so that helpers are asked at once.
      onAway: () => this.#follower.runTick(),
    });
  }

  #createFeed(): RecordFeed {
    const { clock, replica, selfId, socket } = this.#dependencies;
    return new RecordFeed({
      clock,
      selfId,
      replica,
      buildClaim: () => this.#freshness.buildClaim(clock.now()),
      send: (body, address) => socket.send('news', body, address),
    });
  }

  #createFollower(): PeerFollower {
    const { clock, log, selfId, replica, fleet, formats, socket } = this.#dependencies;
    return new PeerFollower({
      clock,
      log,
      selfId,
      isKnownSource: (member) => formats.judge(member) === 'same',
      listFollowedReaders: () => this.#listFollowedReaders(),
      getRequested: () => replica.requested,
      sendPoll: (body, { address }) => socket.send('poll', body, address),
      fetch: async (member, known) => this.#fetchChanges(member, known),
      onChanges: (changes) => this.#applyChanges(changes),
      onEras: (eras) => replica.recordEras(eras, clock.now()),
      onClaim: (claim, senderId) => this.#handleClaim(claim, senderId),
      onHeard: (id) => fleet.recordHeard(id),
      onLost: (id, reason) => fleet.recordLost(id, reason),
    });
  }
}
