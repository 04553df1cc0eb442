/**
 * A daemon's replica of the published records, updated from the platform's store or from peers. A
 * record is only replaced by one that was written later, so a stale store, a store that came back
 * from an older copy, or a peer that was partitioned cannot revert it, in whatever order changes
 * arrive.
 */
import { Table } from '../tables/index.js';
import type { RoutingConfiguration } from '../routes/index.js';
import { hasSameContent, isEmptyRecord } from './content-digest.js';
import { findKnownRevision, hasAllKnown, mergeKnown } from './known-revisions.js';
import type { KnownRevisions } from './known-revisions.js';
import { RecordOrder } from './record-order.js';
import { RevisionLog } from './revision-log.js';
import { StoreEras } from './eras.js';
import { UnusableConfiguration } from './unusable-configuration.js';
import type { EraStarts, StorePosition } from './eras.js';
import type {
  ConfigurationPosition,
  PublishedRecord,
  RecordChanges,
  RegisteredUpstream,
  StoreChanges,
} from './types.js';

type Row = PublishedRecord & { readonly id: string; readonly removedAt?: number };

export type ReplicaSettings = {
  /** How long a removed key is remembered, so that outdated records cannot restore it. */
  readonly tombstoneMs: number;
};

/** Several times the longest partition after which a daemon's records are still accepted. */
export const DEFAULT_REPLICA_SETTINGS: ReplicaSettings = { tombstoneMs: 120_000 };

/** The store was found in a newer era than before. */
export type EraChange = {
  readonly era: number;
  readonly previousEra: number;
  /** Revision of the store in the new era, or the lowest one that peers know. */
  readonly revision: number;
  /** Revision up to which this daemon knew the previous era. */
  readonly knownRevision: number;
};

/** What happened to a record because it was read in another era than the known one of its key. */
export type RecordConflict = {
  readonly record: PublishedRecord;
  readonly known: PublishedRecord;
  readonly outcome: 'refused' | 'replaced';
};

export type ReplicaHandlers = {
  readonly onEraChange: (change: EraChange) => void;
  readonly onConflict: (conflict: RecordConflict) => void;
};

const NO_HANDLERS: ReplicaHandlers = {
  onEraChange: () => undefined,
  onConflict: () => undefined,
};

/**
 * A whole state was taken in at `at`, while `before` was known. There are no tombstones of what others
 * knew beyond `before` and was removed up to `at`.
 */
type HistoryGap = { readonly before: KnownRevisions; readonly at: KnownRevisions };

/** Gaps that are remembered; before the oldest one, tombstones count as pruned. */
const MAX_GAPS = 16;

/** Places a removal that a read of the whole store shows behind all changes that the read has. */
const AFTER_REVISION = 0.5;
/** Added to a revision behind which only a part is known; removals after it are still missing. */
const PARTLY_KNOWN = 0.25;

function toRecord({ key, era, revision, upstream, configuration }: Row): PublishedRecord {
  return { key, era, revision, upstream, configuration };
}

export class Replica {
  readonly #rows = new Table<Row>();

  readonly #settings: ReplicaSettings;

  readonly #handlers: ReplicaHandlers;

  readonly #eras = new StoreEras();

  readonly #order = new RecordOrder(this.#eras);

  readonly #log = new RevisionLog();

  #known: KnownRevisions = [];

  /** Tombstones up to these revisions may have been pruned, so an older replica needs a snapshot. */
  #pruned: KnownRevisions = [];

  /** The last whole read, if it kept what the store did not have: removals behind `from` are missing. */
  #keptMissing: { readonly era: number; readonly from: number; readonly to: number } | undefined;

  /** Spans of the history that were skipped by taking in a whole state, the newest last. */
  #gaps: readonly HistoryGap[] = [];

  #upstreams: readonly RegisteredUpstream[] | undefined;

  /** The record of the configuration in force. */
  #configured:
    | (StorePosition & { readonly key: string; readonly configuration: RoutingConfiguration })
    | undefined;

  readonly #unusable = new UnusableConfiguration();

  /** The last read of the whole store that showed which keys are missing, here or at a peer. */
  #completeAt: StorePosition | undefined;

  #eraLearnedAt = Number.NEGATIVE_INFINITY;

  #boundChanges = 0;

  /** Records whose refusal was reported already, by key. */
  readonly #reportedRefusals = new Map<string, PublishedRecord>();

  constructor(
    settings: ReplicaSettings = DEFAULT_REPLICA_SETTINGS,
    handlers: ReplicaHandlers = NO_HANDLERS,
  ) {
    this.#settings = settings;
    this.#handlers = handlers;
  }

  /** How much of the store's history this daemon knows; empty before the first read. */
  get known(): KnownRevisions {
    return this.#known;
  }

  /**
   * What other daemons have to send changes since. It is less than what is known after a read that kept
   * what the store did not have: removals up to that read may be missing here.
   */
  get requested(): KnownRevisions {
    const kept = this.#keptMissing;
    if (!kept) return this.#known;
    return this.#known.map(([era, revision]): KnownRevisions[number] => [
      era,
      era === kept.era ? Math.min(revision, kept.from + PARTLY_KNOWN) : revision,
    ]);
  }

  /** The newest era of the store that is known; undefined before the first read. */
  get era(): number | undefined {
    return this.#eras.newest;
  }

  /** The revision up to which all changes of the newest era are known; 0 if nothing is. */
  get revision(): number {
    return this.era === undefined ? 0 : findKnownRevision(this.#known, this.era);
  }

  /** Whether this daemon, or one that it learned from, has read the whole store without keeping anything. */
  get hasCompleteRead(): boolean {
    return this.#completeAt !== undefined;
  }

  /** When this daemon learned of the last restore, in milliseconds; -Infinity if there was none. */
  get eraLearnedAt(): number {
    return this.#eraLearnedAt;
  }

  /**
   * Rises whenever the bounds of an era fall, so that records which were taken for copied ones may
   * have been written later and have to be read again.
   */
  get boundChanges(): number {
    return this.#boundChanges;
  }

  /** Increases with every change of a record, and when a tombstone is pruned. */
  get changeCount(): number {
    return this.#rows.revision;
  }

  /** The routing configuration with the highest version that was ever known. */
  get configuration(): RoutingConfiguration | undefined {
    return this.#configured?.configuration;
  }

  /** Where the configuration in force stands; undefined before the first one. */
  get configurationPosition(): ConfigurationPosition | undefined {
    if (!this.#configured) return undefined;
    const { era, revision, configuration } = this.#configured;
    return { era, revision, version: configuration.version, eras: this.#eras.list() };
  }

  /**
   * Where the store holds a configuration that this daemon cannot use, or none, in the place of the one
   * in force; undefined if the one in force is the newest that is known.
   */
  get unusableConfiguration(): StorePosition | undefined {
    const { record } = this.#unusable;
    return record?.era === this.era ? record : undefined;
  }

  /**
   * Whether a configuration in force at another daemon would not replace the one in force here. It is
   * open while that daemon knows more of the eras than this one.
   */
  hasConfiguration({ era, revision, version, eras }: ConfigurationPosition): boolean {
    if (!this.#configured || !this.#eras.hasAll(eras)) return false;
    return !this.#order.isNewer({ era, revision, configuration: { version } }, this.#configured);
  }

  listUpstreams(): readonly RegisteredUpstream[] {
    this.#upstreams ??= this.#rows.list().flatMap(({ upstream }) => upstream ?? []);
    return this.#upstreams;
  }

  /** Whether an era that an answer states can be true. */
  isPlausibleEra(era: number): boolean {
    return this.#eras.isPlausible(era);
  }

  /** Records that the store was seen in an era at a revision. `now` in milliseconds. */
  recordEra(era: number, revision: number, now: number): void {
    const { newest: previousEra } = this.#eras;
    const previousRevision = this.revision;
    if (!this.#eras.recordStart(era, revision)) return;
    if (this.#eras.findPrevious(era) !== undefined) this.#forgetChangesAfter(era, revision);
    if (previousEra === undefined || era <= previousEra) return;
    this.#eraLearnedAt = now;
    this.#handlers.onEraChange({ era, previousEra, revision, knownRevision: previousRevision });
  }

  /** Records the eras that another daemon knows. `now` in milliseconds. */
  recordEras(eras: EraStarts, now: number): void {
    [...eras]
      .sort(([left], [right]) => left - right)
      .forEach(([era, revision]) => this.recordEra(era, revision, now));
  }

  /**
   * Merges an answer of the store, and returns the records that were newer. While `keepsMissing`,
   * records that a whole answer lacks are kept.
   */
  applyStoreChanges(
    era: number,
    { records, revision, isWhole }: StoreChanges,
    now: number,
    keepsMissing = false,
  ): readonly PublishedRecord[] {
    this.recordEra(era, revision, now);
    if (isWhole) this.#recordWholeRead(era, revision, keepsMissing);
    const read = records.map((record) => ({ ...record, era }));
    if (isWhole) this.#recordMissingConfiguration(read, { era, revision });
    read.forEach((record) => this.#refreshBound(record, now));
    const accepted = this.#acceptAll(read, now);
    const removed = isWhole && !keepsMissing ? this.#removeMissing(read, era, revision, now) : [];
    this.#raiseKnown([[era, revision]]);
    return [...accepted, ...removed];
  }

  /** Merges the changes that another daemon has sent, and returns the records that were newer. */
  applyChanges(changes: RecordChanges, now: number): readonly PublishedRecord[] {
    this.recordEras(changes.eras, now);
    const records = changes.records.filter(({ era }) => this.#eras.isPlausible(era));
    records.forEach((record) => this.#refreshBound(record, now));
    if (changes.isWhole) this.#recordGap(changes.known);
    const removals = changes.isWhole ? this.#buildSnapshotRemovals(changes) : [];
    const accepted = this.#acceptAll([...records, ...removals], now);
    if (changes.isWhole && changes.completeAt) this.#recordCompleteRead(changes.completeAt);
    const agreed = this.#listAgreedKnown(changes);
    const kept = this.#keptMissing;
    if (kept && findKnownRevision(agreed, kept.era) >= kept.to) this.#keptMissing = undefined;
    this.#raiseKnown(agreed);
    return accepted;
  }

  /** Records that were taken for copied ones may be part of an era, so they have to come again. */
  #forgetChangesAfter(era: number, revision: number): void {
    this.#boundChanges += 1;
    this.#known = this.#known.map(([one, known]) =>
      one === era ? [one, Math.min(known, revision)] : [one, known],
    );
  }

  /** Lists the changes that a daemon does not know, or a snapshot if tombstones were pruned since. */
  listChangesSince(known: KnownRevisions): RecordChanges {
    const isWhole =
      known.length === 0 || !hasAllKnown(known, this.#pruned) || this.#isWithinGap(known);
    const rows = hasAllKnown(known, this.#known) ? [] : this.#rows.list();
    const changed = isWhole
      ? this.#rows.list()
      : rows.filter(({ era, revision }) => revision > findKnownRevision(known, era));
    return {
      records: [...changed.map(toRecord), ...this.#listUnusable(isWhole ? [] : known)],
      known: this.#known,
      eras: this.#eras.list(),
      completeAt: this.#completeAt,
      isWhole,
    };
  }

  /**
   * The record that stands for an unusable configuration, which no row holds. It comes behind the row of
   * the one in force, so that a daemon that takes both knows that the later one exists.
   */
  #listUnusable(known: KnownRevisions): readonly PublishedRecord[] {
    const { record } = this.#unusable;
    return record && record.revision > findKnownRevision(known, record.era) ? [record] : [];
  }

  /** Takes in that a read of the whole store did not show the key of the configuration in force. */
  #recordMissingConfiguration(
    read: readonly PublishedRecord[],
    { era, revision }: StorePosition,
  ): void {
    const key = this.#configured?.key;
    if (key === undefined || read.some((record) => record.key === key)) return;
    this.#recordStoredConfiguration({ key, era, revision: revision + AFTER_REVISION });
  }

  #recordStoredConfiguration(record: PublishedRecord): void {
    if (record.key !== this.#configured?.key) return;
    this.#unusable.recordStored(record, this.#configured);
  }

  #recordWholeRead(era: number, to: number, keepsMissing: boolean): void {
    this.#recordGap([[era, to]]);
    const from =
      this.#keptMissing?.era === era ? this.#keptMissing.from : findKnownRevision(this.#known, era);
    this.#keptMissing = keepsMissing ? { era, from, to } : undefined;
  }

  /** Records that a whole state is taken in which is known up to these revisions. */
  #recordGap(at: KnownRevisions): void {
    if (hasAllKnown(this.#known, at)) return;
    const gaps = [...this.#gaps, { before: this.#known, at }];
    this.#pruned = gaps
      .slice(0, -MAX_GAPS)
      .reduce((pruned, forgotten) => mergeKnown(pruned, forgotten.at), this.#pruned);
    this.#gaps = gaps.slice(-MAX_GAPS);
  }

  /** Whether a daemon may have records whose removal this one does not know of. */
  #isWithinGap(known: KnownRevisions): boolean {
    return this.#gaps.some(
      ({ before, at }) => !hasAllKnown(before, known) && !hasAllKnown(known, at),
    );
  }

  /** Prunes expired tombstones. */
  runTick(now: number): void {
    this.#rows
      .list()
      .filter(({ removedAt }) => removedAt !== undefined)
      .filter(({ removedAt = now }) => now - removedAt >= this.#settings.tombstoneMs)
      .forEach((row) => {
        this.#pruned = mergeKnown(this.#pruned, [[row.era, row.revision]]);
        this.#rows.remove(row.id);
      });
  }

  /** Removals that complete reads have shown belong to what is known at their revision. */
  #raiseKnown(known: KnownRevisions): void {
    const { record: unusable } = this.#unusable;
    const ends = [...this.#rows.list(), ...(unusable ? [unusable] : [])]
      .filter(({ revision }) => !Number.isInteger(revision))
      .map(({ era, revision }): KnownRevisions[number] => [era, revision]);
    const merged = mergeKnown(this.#known, known);
    this.#known = merged.map(([era, revision]) => {
      const hasEnd = ends.some(([one, end]) => one === era && end === revision + AFTER_REVISION);
      return [era, hasEnd ? revision + AFTER_REVISION : revision];
    });
  }

  /** Removes the records that a complete read of the store does not contain. */
  #removeMissing(
    read: readonly PublishedRecord[],
    era: number,
    revision: number,
    now: number,
  ): readonly PublishedRecord[] {
    const readAt = { era, revision: revision + AFTER_REVISION };
    // A daemon has no tombstones of what was removed before its first complete read.
    if (!this.#completeAt) this.#pruned = [[era, revision]];
    const removed = this.#acceptAll(this.#buildRemovalsBefore(read, readAt), now);
    this.#recordCompleteRead(readAt);
    return removed;
  }

  /** A daemon with a higher bound of an era may have refused records that this one accepts. */
  #listAgreedKnown({ known, eras }: RecordChanges): KnownRevisions {
    const ownStarts = this.#eras.list();
    return known.filter(([era]) => {
      if (!this.#eras.isPlausible(era)) return false;
      if (this.#eras.findPrevious(era) === undefined) return true;
      return findKnownRevision(eras, era) <= findKnownRevision(ownStarts, era);
    });
  }

  /** Builds removals for the known keys that a peer's snapshot covers and does not contain. */
  #buildSnapshotRemovals({
    records,
    known,
    completeAt,
  }: RecordChanges): readonly PublishedRecord[] {
    const removals = known.flatMap(([era, revision]) =>
      this.#buildRemovals(
        records,
        { era, revision: revision + AFTER_REVISION },
        (row) => row.era === era && row.revision <= revision,
      ),
    );
    if (!completeAt) return removals;
    return [...removals, ...this.#buildRemovalsBefore(records, completeAt)];
  }

  /** Builds removals for the known keys that a complete read of the store does not contain. */
  #buildRemovalsBefore(
    listed: readonly PublishedRecord[],
    readAt: StorePosition,
  ): readonly PublishedRecord[] {
    return this.#buildRemovals(
      listed,
      readAt,
      (row) =>
        !(row.era > readAt.era && this.#eras.mayBeCopied(row)) &&
        this.#eras.comparePositions(row, readAt) < 0,
    );
  }

  #recordCompleteRead(readAt: StorePosition): void {
    if (this.#completeAt && this.#eras.comparePositions(readAt, this.#completeAt) <= 0) return;
    this.#completeAt = readAt;
  }

  #buildRemovals(
    listed: readonly PublishedRecord[],
    position: Pick<PublishedRecord, 'era' | 'revision'>,
    isCovered: (row: Row) => boolean,
  ): readonly PublishedRecord[] {
    const listedKeys = new Set(listed.map(({ key }) => key));
    return this.#rows
      .list()
      .filter((row) => !listedKeys.has(row.key) && row.upstream !== undefined && isCovered(row))
      .map(({ key }) => ({ ...position, key }));
  }

  /** Lowers the bound of an era if a revision holds something else than in the era before. */
  #refreshBound(record: PublishedRecord, now: number): void {
    // A configuration that only the sender cannot use says nothing about what its revision held.
    if (record.key === this.#configured?.key && isEmptyRecord(record)) return;
    const logged = this.#log.find(record);
    if (!logged) return;
    const [earlier, later] = logged.era < record.era ? [logged, record] : [record, logged];
    if (!this.#eras.mayBeCopied(later)) return;
    if (this.#eras.findPrevious(later.era) !== earlier.era) return;
    if (this.#log.isDifferent(logged, record)) this.recordEra(later.era, later.revision - 1, now);
  }

  #acceptAll(records: readonly PublishedRecord[], now: number): readonly PublishedRecord[] {
    return records.filter((record) => this.#accept(record, now));
  }

  #accept(record: PublishedRecord, now: number): boolean {
    this.#recordStoredConfiguration(record);
    const known = this.#rows.get(record.key);
    if (known && !this.#order.isNewer(record, known)) {
      if (record.revision === known.revision) this.#log.record(record);
      this.#reportRefused(record, known);
      return false;
    }
    if (!known && this.#isForgotten(record)) return false;
    if (!known && this.#isMissing(record)) return this.#acceptRemoval(record.key, now);
    if (known) this.#reportReplaced(record, known);
    this.#log.record(record);
    this.#put(record, known, now);
    return true;
  }

  /** Whether a record is the removal of an unknown key whose tombstone may have been pruned. */
  #isForgotten(record: PublishedRecord): boolean {
    const isPruned = record.revision <= findKnownRevision(this.#pruned, record.era);
    return isPruned && isEmptyRecord(record);
  }

  /** Whether the last complete read of the store shows that an upstream unknown until now is gone. */
  #isMissing(record: PublishedRecord): boolean {
    if (!this.#completeAt || !record.upstream || this.#eras.mayBeCopied(record)) return false;
    return this.#eras.comparePositions(record, this.#completeAt) < 0;
  }

  /** Takes the last complete read for the removal of a key, so that peers learn of it. */
  #acceptRemoval(key: string, now: number): boolean {
    if (!this.#completeAt) return false;
    const { era, revision } = this.#completeAt;
    this.#put({ key, era, revision }, undefined, now);
    this.#raiseKnown([[era, revision]]);
    return false;
  }

  #put(record: PublishedRecord, known: Row | undefined, now: number): void {
    const removedAt = isEmptyRecord(record) ? now : undefined;
    // What was written again without a change stays the same object, so that nothing is rebuilt.
    const content = known && hasSameContent(record, known) ? known : record;
    const { upstream, configuration } = content;
    this.#rows.put({ ...record, upstream, configuration, id: record.key, removedAt });
    this.#upstreams = undefined;
    if (configuration) {
      const { key, era, revision } = record;
      this.#configured = { key, era, revision, configuration };
    }
    this.#reportedRefusals.delete(record.key);
  }

  #reportRefused(record: PublishedRecord, known: PublishedRecord): void {
    const reported = this.#reportedRefusals.get(record.key);
    const isSame = ({ era, revision }: PublishedRecord): boolean =>
      era === record.era && revision === record.revision;
    if (
      isSame(known) ||
      (reported && isSame(reported)) ||
      isEmptyRecord(record) ||
      hasSameContent(record, known)
    )
      return;
    this.#reportedRefusals.set(record.key, record);
    this.#handlers.onConflict({ record, known, outcome: 'refused' });
  }

  #reportReplaced(record: PublishedRecord, known: PublishedRecord): void {
    if (record.revision > known.revision || hasSameContent(record, known)) return;
    this.#handlers.onConflict({ record, known, outcome: 'replaced' });
  }
}
