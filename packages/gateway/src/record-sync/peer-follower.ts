/**
 * Follows the readers of the store: polls them by datagram, takes in the news that they send, and
 * fetches what does not fit into a datagram. A reader that does not answer for a while is lost to
 * this daemon.
 *
 * Load pattern: hundreds of daemons that have nothing to do but must know of every change within a
 * second, also when the reader that they follow has just lost power.
 */
import type { RecordChanges, Clock, FreshnessClaim, Member } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

import { formatPoll } from './messages.js';
import type { News } from './messages.js';

/** A reader, and how closely it is followed. */
export type Followed = {
  readonly member: Member;
  /** How often it is polled, in milliseconds. */
  readonly pollMs: number;
  /** Whether it should tell of changes as they come. */
  readonly wantsPush: boolean;
};

export type FollowerPorts = {
  readonly clock: Clock;
  readonly log: Log;
  readonly selfId: string;
  /** Readers to follow now. */
  readonly listFollowed: () => readonly Followed[];
  readonly getRevision: () => number;
  /** Whether this daemon should read the store and cannot. */
  readonly isCutOff: () => boolean;
  readonly sendPoll: (body: Buffer, member: Member) => void;
  /** Fetches the changes after a revision. */
  readonly fetch: (member: Member, revision: number) => Promise<RecordChanges>;
  readonly onChanges: (changes: RecordChanges) => void;
  /** Called once the changes that a claim speaks of are known. */
  readonly onClaim: (claim: FreshnessClaim) => void;
  readonly onHeard: (id: string) => void;
  readonly onLost: (id: string, reason: string) => void;
};

/** Polls without an answer after which a reader is lost; datagrams get lost, too. */
const LOST_AFTER_POLLS = 3;

type State = {
  readonly followed: Followed;
  readonly polledAt: number;
  /** When it was last heard, or first polled. */
  readonly heardAt: number;
  readonly isFetching: boolean;
};

export class PeerFollower {
  readonly #ports: FollowerPorts;

  readonly #states = new Map<string, State>();

  constructor(ports: FollowerPorts) {
    this.#ports = ports;
  }

  /** Polls whom it is time to poll, and gives up who has not answered. */
  runTick(): void {
    const now = this.#ports.clock.now();
    const wanted = new Map(this.#ports.listFollowed().map((one) => [one.member.id, one]));
    [...this.#states.keys()]
      .filter((id) => !wanted.has(id))
      .forEach((id) => this.#states.delete(id));
    wanted.forEach((followed) => this.#runFollow(followed, now));
  }

  /** Takes in news of a daemon that is followed. */
  handleNews(news: News): void {
    const state = this.#states.get(news.id);
    if (!state) return;
    this.#states.set(news.id, { ...state, heardAt: this.#ports.clock.now() });
    this.#ports.onHeard(news.id);
    const known = this.#ports.getRevision();
    if (news.revision <= known) this.#acceptClaim(news.claim);
    else if (news.records && news.baseRevision <= known) this.#acceptRecords(news, news.records);
    else this.#fetchChanges(state.followed.member, news.claim);
  }

  #runFollow(followed: Followed, now: number): void {
    const { id } = followed.member;
    const state = this.#states.get(id);
    if (state && now - state.polledAt < followed.pollMs) return;
    const heardAt = state?.heardAt ?? now;
    const isFetching = state?.isFetching ?? false;
    this.#states.set(id, { followed, polledAt: now, heardAt, isFetching });
    if (now - heardAt > followed.pollMs * LOST_AFTER_POLLS) {
      this.#states.delete(id);
      this.#ports.onLost(id, `no answer in ${Math.round(now - heardAt)} ms`);
    } else this.#sendPoll(followed);
  }

  #sendPoll({ member, wantsPush }: Followed): void {
    const { selfId, getRevision, isCutOff, sendPoll } = this.#ports;
    const revision = getRevision();
    sendPoll(formatPoll({ id: selfId, revision, wantsPush, isCutOff: isCutOff() }), member);
  }

  #acceptRecords({ revision, claim }: News, records: RecordChanges['records']): void {
    this.#ports.onChanges({ records, revision, isWhole: false });
    this.#acceptClaim(claim);
  }

  #acceptClaim(claim: FreshnessClaim | undefined): void {
    if (claim) this.#ports.onClaim(claim);
  }

  /** The claim was true when the news were sent, so that it is as much older now. */
  #fetchChanges(member: Member, claim: FreshnessClaim | undefined): void {
    const state = this.#states.get(member.id);
    if (!state || state.isFetching) return;
    const { fetch, getRevision, onChanges, log, clock } = this.#ports;
    const startedAt = clock.now();
    this.#states.set(member.id, { ...state, isFetching: true });
    fetch(member, getRevision())
      .then((changes) => {
        onChanges(changes);
        const spentMs = clock.now() - startedAt;
        this.#acceptClaim(claim && { ...claim, ageMs: claim.ageMs + spentMs });
      })
      .catch((error: Error) =>
        log.warn('fetch-failed', { daemon: member.id, reason: error.message }),
      )
      .finally(() => this.#finishFetch(member.id));
  }

  #finishFetch(id: string): void {
    const state = this.#states.get(id);
    if (state) this.#states.set(id, { ...state, isFetching: false });
  }
}
