/**
 * A daemon's copy of the published records. It is filled from the platform's store or from peers
 * alike: a record only ever gives way to a later revision of its key, so that neither a stale
 * store nor a peer that was cut off takes knowledge back, whatever the order of arrival.
 */
import { Table } from '../tables/index.js';
import type { RoutingConfiguration } from '../routes/index.js';
import type { Changes, KnownRecord, RegisteredUpstream } from './types.js';

type Row = KnownRecord & { readonly id: string; readonly removedAt?: number };

export type ReplicaSettings = {
  /** How long a removed key is remembered, so that old news cannot bring it back. */
  readonly tombstoneMs: number;
};

/** Several times the longest time for which a daemon may be cut off and still be believed. */
export const DEFAULT_REPLICA_SETTINGS: ReplicaSettings = { tombstoneMs: 120_000 };

function toRecord({ key, revision, upstream, configuration }: Row): KnownRecord {
  return { key, revision, upstream, configuration };
}

function isEmpty({ upstream, configuration }: KnownRecord): boolean {
  return upstream === undefined && configuration === undefined;
}

export class Replica {
  readonly #rows = new Table<Row>();

  readonly #settings: ReplicaSettings;

  #revision = 0;

  /** Below this revision removals have been forgotten, so that only a whole copy will do. */
  #forgottenUpTo = 0;

  #configuration: RoutingConfiguration | undefined;

  #upstreams: readonly RegisteredUpstream[] | undefined;

  constructor(settings: ReplicaSettings = DEFAULT_REPLICA_SETTINGS) {
    this.#settings = settings;
  }

  /** The revision up to which every change is known. 0: nothing was read yet. */
  get revision(): number {
    return this.#revision;
  }

  /** Grows with every change of what is known. */
  get changeCount(): number {
    return this.#rows.revision;
  }

  /** The configuration with the highest version ever seen. */
  get configuration(): RoutingConfiguration | undefined {
    return this.#configuration;
  }

  listUpstreams(): readonly RegisteredUpstream[] {
    this.#upstreams ??= this.#rows.list().flatMap(({ upstream }) => upstream ?? []);
    return this.#upstreams;
  }

  /** Takes changes in and returns the records that were news. `now` in milliseconds. */
  applyChanges(changes: Changes, now: number): readonly KnownRecord[] {
    const missing = changes.isWhole ? this.#listMissing(changes) : [];
    const news = [...changes.records, ...missing].filter((record) => this.#accept(record, now));
    this.#revision = Math.max(this.#revision, changes.revision);
    return news;
  }

  /** Takes records in without holding the copy to be complete at any later revision. */
  applyRecords(records: readonly KnownRecord[], now: number): readonly KnownRecord[] {
    return this.applyChanges({ records, revision: this.#revision, isWhole: false }, now);
  }

  /** Everything that a copy complete at `revision` lacks. */
  listChangesSince(revision: number): Changes {
    const isWhole = revision < this.#forgottenUpTo || revision === 0;
    const rows = this.#rows.list();
    const wanted = isWhole ? rows : rows.filter((row) => row.revision > revision);
    return { records: wanted.map(toRecord), revision: this.#revision, isWhole };
  }

  /** Forgets removals that are too old to matter. */
  runTick(now: number): void {
    this.#rows
      .list()
      .filter(({ removedAt }) => removedAt !== undefined)
      .filter(({ removedAt = now }) => now - removedAt >= this.#settings.tombstoneMs)
      .forEach((row) => {
        this.#forgottenUpTo = Math.max(this.#forgottenUpTo, row.revision);
        this.#rows.remove(row.id);
      });
  }

  #listMissing({ records, revision }: Changes): readonly KnownRecord[] {
    const named = new Set(records.map(({ key }) => key));
    return this.#rows
      .list()
      .filter((row) => !named.has(row.key) && row.revision <= revision && !isEmpty(row))
      .map(({ key }) => ({ key, revision }));
  }

  #accept(record: KnownRecord, now: number): boolean {
    const known = this.#rows.get(record.key);
    if (known && record.revision <= known.revision) return false;
    if (!known && isEmpty(record) && record.revision <= this.#forgottenUpTo) return false;
    const removedAt = isEmpty(record) ? now : undefined;
    this.#rows.put({ ...record, id: record.key, removedAt });
    this.#upstreams = undefined;
    this.#acceptConfiguration(record.configuration);
    return true;
  }

  #acceptConfiguration(configuration: RoutingConfiguration | undefined): void {
    if (!configuration) return;
    if (this.#configuration && configuration.version <= this.#configuration.version) return;
    this.#configuration = configuration;
  }
}
