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
import type { RecordUpdate } from './messages.js';

/** A reader, and how closely it is followed. */
export type FollowedReader = {
  readonly member: Member;
  /** How often it is polled, in milliseconds. */
  readonly pollMs: number;
  /** Whether it should tell of changes as they come. */
  readonly wantsPush: boolean;
};

export type PeerFollowerDependencies = {
  readonly clock: Clock;
  readonly log: Log;
  readonly selfId: string;
  /** Readers to follow now. */
  readonly listFollowedReaders: () => readonly FollowedReader[];
  readonly getRevision: () => number;
  /** Whether this daemon should read the store and cannot. */
  readonly needsHelpers: () => boolean;
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
const MAX_UNANSWERED_POLLS = 3;

type ReaderState = {
  readonly followed: FollowedReader;
  readonly polledAt: number;
  /** When it was last heard, or first polled. */
  readonly heardAt: number;
  readonly isFetching: boolean;
};

export class PeerFollower {
  readonly #dependencies: PeerFollowerDependencies;

  readonly #states = new Map<string, ReaderState>();

  constructor(dependencies: PeerFollowerDependencies) {
    this.#dependencies = dependencies;
  }

  /** Polls whom it is time to poll, and gives up who has not answered. */
  runTick(): void {
    const now = this.#dependencies.clock.now();
    const wanted = new Map(
      this.#dependencies.listFollowedReaders().map((one) => [one.member.id, one]),
    );
    [...this.#states.keys()]
      .filter((id) => !wanted.has(id))
      .forEach((id) => this.#states.delete(id));
    wanted.forEach((followed) => this.#runReader(followed, now));
  }

  /** Takes in news of a daemon that is followed. */
  handleUpdate(news: RecordUpdate): void {
    const state = this.#states.get(news.id);
    if (!state) return;
    this.#states.set(news.id, { ...state, heardAt: this.#dependencies.clock.now() });
    this.#dependencies.onHeard(news.id);
    const known = this.#dependencies.getRevision();
    if (news.revision <= known) this.#acceptClaim(news.claim);
    else if (news.records && news.baseRevision <= known) this.#acceptRecords(news, news.records);
    else this.#fetchChanges(state.followed.member, news.claim);
  }

  #runReader(followed: FollowedReader, now: number): void {
    const { id } = followed.member;
    const state = this.#states.get(id);
    if (state && now - state.polledAt < followed.pollMs) return;
    const heardAt = state?.heardAt ?? now;
    const isFetching = state?.isFetching ?? false;
    this.#states.set(id, { followed, polledAt: now, heardAt, isFetching });
    if (now - heardAt > followed.pollMs * MAX_UNANSWERED_POLLS) {
      this.#states.delete(id);
      this.#dependencies.onLost(id, `no answer in ${Math.round(now - heardAt)} ms`);
    } else this.#sendPoll(followed);
  }

  #sendPoll({ member, wantsPush }: FollowedReader): void {
    const { selfId, getRevision, needsHelpers: isCutOff, sendPoll } = this.#dependencies;
    const revision = getRevision();
    sendPoll(formatPoll({ id: selfId, revision, wantsPush, needsHelpers: isCutOff() }), member);
  }

  #acceptRecords({ revision, claim }: RecordUpdate, records: RecordChanges['records']): void {
    this.#dependencies.onChanges({ records, revision, isWhole: false });
    this.#acceptClaim(claim);
  }

  #acceptClaim(claim: FreshnessClaim | undefined): void {
    if (claim) this.#dependencies.onClaim(claim);
  }

  /** The claim was true when the news were sent, so that it is as much older now. */
  #fetchChanges(member: Member, claim: FreshnessClaim | undefined): void {
    const state = this.#states.get(member.id);
    if (!state || state.isFetching) return;
    const { fetch, getRevision, onChanges, log, clock } = this.#dependencies;
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
