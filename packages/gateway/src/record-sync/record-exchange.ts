/**
 * Keeps the replica current: from the store where this daemon reads it, from the readers otherwise,
 * and passes on what it learns. The first daemon of each data centre reads; if the store does not
 * answer it, it asks the next ones to read, and follows the readers of the other data centres.
 */
import { Freshness } from '@baobabline/core';
import type { RecordChanges, Clock, Member, RandomSource, Replica } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

import type { FleetSocket } from '../datagrams/index.js';
import type { RecordSource } from '../dialect/index.js';
import type { FleetLinks } from '../fleet/index.js';
import type { HttpCalls } from '../http/index.js';
import { changesSchema, RECORDS_PATH } from '../peers/index.js';
import { parseNews, parsePoll } from './messages.js';
import type { Poll } from './messages.js';
import { PeerFollower } from './peer-follower.js';
import type { Followed } from './peer-follower.js';
import { RecordFeed } from './record-feed.js';
import { StoreReader } from './store-reader.js';

export type ExchangePorts = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly selfId: string;
  readonly dataCentre: string;
  /** Readers of each data centre. */
  readonly readerCount: number;
  readonly replica: Replica;
  readonly source: RecordSource;
  readonly fleet: FleetLinks;
  readonly socket: FleetSocket;
  readonly calls: HttpCalls;
  readonly onChanged: () => void;
};

const NEAR_POLL_MS = 400;
/** Readers of different data centres need each other only once the store turns one away. */
const FAR_POLL_MS = 1000;
/** A helper reads on for a few polls after it was last asked. */
const ASKED_MS = 1500;
const FETCH_TIMEOUT_MS = 700;
const OK_STATUS = 200;

export class RecordExchange {
  readonly #ports: ExchangePorts;

  readonly #freshness: Freshness;

  readonly #reader: StoreReader;

  readonly #feed: RecordFeed;

  readonly #follower: PeerFollower;

  /** This daemon's draw, which spreads the reads of those that are far back in rank. */
  readonly #chance: number;

  #startedAt = 0;

  #askedUntil = Number.NEGATIVE_INFINITY;

  constructor(ports: ExchangePorts) {
    this.#ports = ports;
    this.#chance = ports.random.next();
    this.#freshness = new Freshness(ports.selfId);
    this.#reader = this.#createReader();
    this.#feed = this.#createFeed();
    this.#follower = this.#createFollower();
    ports.socket.setHandler('poll', (body, sender) => this.#handlePoll(parsePoll(body), sender));
    ports.socket.setHandler('news', (body) => {
      const news = parseNews(body);
      if (news) this.#follower.handleNews(news);
      return news !== undefined;
    });
  }

  /** Whether the last call to the store failed. */
  get isStoreAway(): boolean {
    return this.#reader.isAway;
  }

  start(): void {
    this.#startedAt = this.#ports.clock.now();
    this.#reader.start();
  }

  stop(): void {
    this.#reader.stop();
    this.#feed.stop();
  }

  runTick(): void {
    this.#ports.replica.runTick(this.#ports.clock.now());
    this.#follower.runTick();
  }

  /** What a daemon lacks that knows all changes up to a revision. */
  listChangesSince(revision: number): RecordChanges {
    return this.#ports.replica.listChangesSince(revision);
  }

  get #isReader(): boolean {
    const rank = this.#ports.fleet.roster.ownRank;
    return rank >= 0 && rank < this.#ports.readerCount;
  }

  get #isCutOff(): boolean {
    return this.#isReader && this.#reader.isAway;
  }

  #shouldRead(): boolean {
    const { clock, fleet } = this.#ports;
    const now = clock.now();
    if (this.#isReader || now < this.#askedUntil) return true;
    const rank = fleet.roster.ownRank;
    const waitedMs = now - this.#startedAt;
    const place = rank < 0 ? Number.POSITIVE_INFINITY : rank;
    return this.#freshness.shouldRead(now, place, this.#chance, waitedMs);
  }

  #listFollowed(): readonly Followed[] {
    const { fleet, dataCentre, selfId, readerCount } = this.#ports;
    const near = fleet.roster.listRankedDaemons(dataCentre).filter(({ id }) => id !== selfId);
    const follow = (member: Member): Followed => ({
      member,
      pollMs: NEAR_POLL_MS,
      wantsPush: true,
    });
    if (!this.#isReader) return near.slice(0, readerCount).map(follow);
    const far = fleet.roster
      .listTopRanked(readerCount)
      .filter((member) => member.dataCentre !== dataCentre);
    if (this.#isCutOff) return [...this.#listHelpers(near), ...far].map(follow);
    return far.map((member) => ({ member, pollMs: FAR_POLL_MS, wantsPush: false }));
  }

  /** Those next in rank, and the one that the store has answered, however far back it is. */
  #listHelpers(near: readonly Member[]): readonly Member[] {
    const now = this.#ports.clock.now();
    const count = this.#freshness.countHelpers(now, this.#reader.awayMs);
    return near.filter(({ id }, place) => place < count || id === this.#freshness.sourceId);
  }

  #handlePoll(poll: Poll | undefined, sender: string): boolean {
    if (!poll) return false;
    const { clock, fleet } = this.#ports;
    const isNear = fleet.isNear(sender);
    if (poll.isCutOff && isNear) this.#askedUntil = clock.now() + ASKED_MS;
    this.#feed.handlePoll(poll, sender);
    return true;
  }

  #applyChanges(changes: RecordChanges): void {
    const { replica, clock, onChanged } = this.#ports;
    replica.applyChanges(changes, clock.now());
    this.#feed.announce();
    onChanged();
  }

  async #fetchChanges({ address, peerPort }: Member, revision: number): Promise<RecordChanges> {
    const { status, text } = await this.#ports.calls.send({
      url: `http://${address}:${peerPort}${RECORDS_PATH}`,
      method: 'POST',
      body: JSON.stringify({ revision }),
      timeoutMs: FETCH_TIMEOUT_MS,
    });
    if (status !== OK_STATUS) throw new Error(`the daemon answered ${status}`);
    return changesSchema.parse(JSON.parse(text));
  }

  #createReader(): StoreReader {
    const { clock, random, log, replica, source, onChanged } = this.#ports;
    return new StoreReader({
      clock,
      random,
      log,
      replica,
      source,
      shouldRead: () => this.#shouldRead(),
      onChanged: () => {
        this.#feed.announce();
        onChanged();
      },
      onRead: () => this.#freshness.recordRead(clock.now()),
      // Helpers are asked at once.
      onAway: () => this.#follower.runTick(),
    });
  }

  #createFeed(): RecordFeed {
    const { clock, replica, selfId, socket } = this.#ports;
    return new RecordFeed({
      clock,
      selfId,
      replica,
      buildClaim: () => this.#freshness.buildClaim(clock.now()),
      send: (body, address) => socket.send('news', body, address),
    });
  }

  #createFollower(): PeerFollower {
    const { clock, log, selfId, replica, fleet, socket } = this.#ports;
    return new PeerFollower({
      clock,
      log,
      selfId,
      listFollowed: () => this.#listFollowed(),
      getRevision: () => replica.revision,
      isCutOff: () => this.#isCutOff,
      sendPoll: (body, { address }) => socket.send('poll', body, address),
      fetch: async (member, revision) => this.#fetchChanges(member, revision),
      onChanges: (changes) => this.#applyChanges(changes),
      onClaim: (claim) => this.#freshness.recordClaim(claim, clock.now()),
      onHeard: (id) => fleet.recordHeard(id),
      onLost: (id, reason) => fleet.recordLost(id, reason),
    });
  }
}
