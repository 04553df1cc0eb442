/**
 * Remembers what the latest revisions of the store held, also those that were replaced since. It
 * shows where a store that came back from an older copy differs from the one before.
 */
import { computeContentDigest } from './content-digest.js';
import type { PublishedRecord } from './types.js';

/** What a revision held; the digest stands for the content and is empty for a removal. */
export type LoggedRevision = Pick<PublishedRecord, 'key' | 'era' | 'revision'> & {
  readonly digest: string;
};

const MAX_REVISIONS = 1024;

export class RevisionLog {
  readonly #revisions = new Map<number, LoggedRevision>();

  /** Records what was written at a revision; the oldest entries are dropped. */
  record(record: PublishedRecord): void {
    const { key, era, revision } = record;
    this.#revisions.delete(revision);
    this.#revisions.set(revision, { key, era, revision, digest: computeContentDigest(record) });
    if (this.#revisions.size <= MAX_REVISIONS) return;
    const [oldest] = this.#revisions.keys();
    if (oldest !== undefined) this.#revisions.delete(oldest);
  }

  /** What was last written at the revision of a record; undefined if it is not remembered. */
  find({ revision }: PublishedRecord): LoggedRevision | undefined {
    return this.#revisions.get(revision);
  }

  /** Whether a revision held something else than a record; false if one of them is a removal. */
  isDifferent(logged: LoggedRevision, record: PublishedRecord): boolean {
    if (logged.key !== record.key) return true;
    const digest = computeContentDigest(record);
    return logged.digest !== '' && digest !== '' && logged.digest !== digest;
  }
}
