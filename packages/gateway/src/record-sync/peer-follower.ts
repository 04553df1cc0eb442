/**
 * Follows the readers of the store: polls them by datagram, applies the updates that they send, and
 * fetches the changes that do not fit into a datagram. A reader that leaves several polls unanswered
 * is reported as lost.
 *
 * Load pattern: hundreds of idle daemons that must learn of every change within a second, even if
 * the reader that they follow has just lost power.
 */
import { hasAllKnown } from '@baobabline/core';
import type {
  RecordChanges,
  Clock,
  EraStarts,
  FreshnessClaim,
  KnownRevisions,
  Member,
} from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

import { formatPoll } from './messages.js';
import type { RecordUpdate } from './messages.js';

/** A reader to follow, with its polling interval. */
export type FollowedReader = {
  readonly member: Member;
  /** Polling interval in milliseconds. */
  readonly pollMs: number;
  /** Whether the reader should push updates as changes occur. */
  readonly wantsPush: boolean;
  /** Whether it should read the store for this daemon, though it need not by its rank. */
  readonly needsHelp: boolean;
};

export type PeerFollowerDependencies = {
  readonly clock: Clock;
  readonly log: Log;
  readonly selfId: string;
  /** Whether a daemon has said that it decodes records as this one does. */
  readonly isKnownSource: (member: Member) => boolean;
  /** Lists the readers to follow at present. */
  readonly listFollowedReaders: () => readonly FollowedReader[];
  /** What other daemons have to send changes since. */
  readonly getRequested: () => KnownRevisions;
  readonly sendPoll: (body: Buffer, member: Member) => void;
  /** Fetches the changes that a daemon with this knowledge lacks. */
  readonly fetch: (member: Member, known: KnownRevisions) => Promise<RecordChanges>;
  readonly onChanges: (changes: RecordChanges) => void;
  /** Called with the eras of the store that a reader knows. */
  readonly onEras: (eras: EraStarts) => void;
  /** Called once all changes that a claim covers have been applied, with the daemon that made it. */
  readonly onClaim: (claim: FreshnessClaim, senderId: string) => void;
  readonly onHeard: (id: string) => void;
  readonly onLost: (id: string, reason: string) => void;
};

/** Unanswered polls after which a reader is lost; more than one, since datagrams get lost. */
const MAX_UNANSWERED_POLLS = 3;
/** A poll without an answer is repeated after this share of the polling interval. */
const RETRY_SHARE = 0.5;
/** Polls are sent at ticks, which may come a little early; a poll that is nearly due does not wait. */
const TICK_TOLERANCE_MS = 50;

type ReaderState = {
  readonly followed: FollowedReader;
  readonly polledAt: number;
  /** Time of its last update, or of the first poll if there was none. */
  readonly heardAt: number;
  /** Whether it has answered since it is followed. */
  readonly hasAnswered: boolean;
};

export class PeerFollower {
  readonly #dependencies: PeerFollowerDependencies;

  readonly #states = new Map<string, ReaderState>();

  /** Ids of the daemons from which changes are being fetched. */
  readonly #fetching = new Set<string>();

  #isFetchingLostSpan = false;

  constructor(dependencies: PeerFollowerDependencies) {
    this.#dependencies = dependencies;
  }

  /** Polls the readers that are due, and reports those that stopped answering. */
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

  /** Whether a reader is followed and has sent an update within one and a half polling intervals. */
  isAnswering(id: string): boolean {
    const state = this.#states.get(id);
    if (!state?.hasAnswered) return false;
    const silentMs = this.#dependencies.clock.now() - state.heardAt;
    return silentMs <= state.followed.pollMs * (1 + RETRY_SHARE);
  }

  isFollowing(id: string): boolean {
    return this.#states.has(id);
  }

  /** Applies an update of a followed reader, or of another member that is named as its sender. */
  handleUpdate(news: RecordUpdate, sender?: Member): void {
    const state = this.#states.get(news.id);
    const member = state?.followed.member ?? sender;
    if (!member) return;
    const heardAt = this.#dependencies.clock.now();
    if (state) this.#states.set(news.id, { ...state, heardAt, hasAnswered: true });
    this.#dependencies.onHeard(news.id);
    if (!this.#dependencies.isKnownSource(member)) {
      this.#fetchChanges(member, news);
      return;
    }
    this.#dependencies.onEras(news.eras);
    const known = this.#dependencies.getRequested();
    if (hasAllKnown(known, news.known)) this.#acceptClaim(news, news.claim);
    else if (news.records && hasAllKnown(known, news.base)) this.#acceptRecords(news, news.records);
    else this.#fetchChanges(member, news);
  }

  /** Fetches what a daemon knows beyond this one; does nothing while a fetch from it is in progress. */
  fetchFrom(member: Member): void {
    this.#startFetch(member);
  }

  /** Fetches what a daemon knows of earlier eras; does nothing while such a fetch is in progress. */
  fetchLostSpan(member: Member): void {
    if (this.#isFetchingLostSpan) return;
    this.#isFetchingLostSpan = true;
    this.#startFetch(member, {
      onEnd: () => {
        this.#isFetchingLostSpan = false;
      },
    });
  }

  #runReader(followed: FollowedReader, now: number): void {
    const { id } = followed.member;
    const state = this.#states.get(id);
    const isDue = !state || now - state.polledAt >= this.#computePollMs(state) - TICK_TOLERANCE_MS;
    if (!isDue) return;
    const heardAt = state?.heardAt ?? now;
    const hasAnswered = state?.hasAnswered ?? false;
    this.#states.set(id, { followed, polledAt: now, heardAt, hasAnswered });
    if (now - heardAt > followed.pollMs * MAX_UNANSWERED_POLLS) {
      this.#states.delete(id);
      this.#dependencies.onLost(id, `no answer in ${Math.round(now - heardAt)} ms`);
    } else this.#sendPoll(followed);
  }

  #computePollMs({ followed: { pollMs }, polledAt, heardAt }: ReaderState): number {
    return heardAt > polledAt ? pollMs : pollMs * RETRY_SHARE;
  }

  #sendPoll({ member, wantsPush, needsHelp }: FollowedReader): void {
    const { selfId, getRequested, sendPoll } = this.#dependencies;
    const poll = { id: selfId, known: getRequested(), wantsPush, needsHelpers: needsHelp };
    sendPoll(formatPoll(poll), member);
  }

  #acceptRecords(news: RecordUpdate, records: RecordChanges['records']): void {
    const { known, eras, claim } = news;
    this.#dependencies.onChanges({
      records,
      known,
      eras,
      completeAt: undefined,
      isWhole: false,
    });
    this.#acceptClaim(news, claim);
  }

  /**
   * Accepts a claim, unless its sender lacks what this daemon knows of the newest era: it was frozen or
   * has come back with earlier records, and its claim is about these.
   */
  #acceptClaim({ id, known }: RecordUpdate, claim: FreshnessClaim | undefined): void {
    const newest = this.#dependencies.getRequested().at(-1);
    if (claim && hasAllKnown(known, newest ? [newest] : [])) {
      this.#dependencies.onClaim(claim, id);
    }
  }

  /** The claim held when the update was sent, so the duration of the fetch is added to its age. */
  #fetchChanges(member: Member, news: RecordUpdate): void {
    const { clock } = this.#dependencies;
    const startedAt = clock.now();
    const { claim } = news;
    this.#startFetch(member, {
      onApplied: () => {
        const spentMs = clock.now() - startedAt;
        this.#acceptClaim(news, claim && { ...claim, ageMs: claim.ageMs + spentMs });
      },
    });
  }

  #startFetch(
    member: Member,
    { onApplied, onEnd }: { readonly onApplied?: () => void; readonly onEnd?: () => void } = {},
  ): void {
    if (this.#fetching.has(member.id)) {
      onEnd?.();
      return;
    }
    const { fetch, getRequested, onChanges, log } = this.#dependencies;
    this.#fetching.add(member.id);
    fetch(member, getRequested())
      .then((changes) => {
        onChanges(changes);
        onApplied?.();
      })
      .catch((error: Error) =>
        log.warn('fetch-failed', { daemon: member.id, reason: error.message }),
      )
      .finally(() => {
        this.#fetching.delete(member.id);
        onEnd?.();
      });
  }
}
