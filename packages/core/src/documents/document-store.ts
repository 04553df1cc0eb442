/**
 * Stores the active version of each published document. A document is only replaced by a higher
 * version, so a stale service or a peer that was partitioned cannot revert it. A publication that
 * fails validation is refused, and the last valid one stays active.
 */
import { checkLists, checkVmList } from '../lists/index.js';
import type { ValidationResult, ValidationFault, Lists, VmList } from '../lists/index.js';
import { Table } from '../tables/index.js';

export const DOCUMENT_NAMES = ['lists', 'vm-list'] as const;

export type DocumentName = (typeof DOCUMENT_NAMES)[number];

/** One publication of a document: its JSON text and the version from this text. */
export type PublishedDocument = {
  readonly id: DocumentName;
  readonly version: number;
  readonly text: string;
};

export type DocumentVersion = {
  readonly id: DocumentName;
  readonly version: number;
};

export type OfferResult =
  | { readonly kind: 'accepted'; readonly version: number }
  | { readonly kind: 'not-newer'; readonly version: number }
  | { readonly kind: 'refused'; readonly faults: readonly ValidationFault[] };

type Versioned = { readonly version: number };

const MAX_QUOTED_CHARACTERS = 60;

function parseText(text: string): ValidationResult<unknown> {
  try {
    return { ok: true, value: JSON.parse(text) };
  } catch (error) {
    const allowed = `JSON (${(error as Error).message})`;
    return {
      ok: false,
      faults: [{ field: '(root)', value: text.slice(0, MAX_QUOTED_CHARACTERS), allowed }],
    };
  }
}

function checkText<Value>(
  text: string,
  check: (value: unknown) => ValidationResult<Value>,
): ValidationResult<Value> {
  const parsed = parseText(text);
  return parsed.ok ? check(parsed.value) : parsed;
}

export class DocumentStore {
  readonly #documents = new Table<PublishedDocument>();

  #lists: Lists | undefined;

  #vmList: VmList | undefined;

  #refusedCount = 0;

  get lists(): Lists | undefined {
    return this.#lists;
  }

  get vmList(): VmList | undefined {
    return this.#vmList;
  }

  /** Publications refused since the start. */
  get refusedCount(): number {
    return this.#refusedCount;
  }

  /** Increases with every accepted document. */
  get revision(): number {
    return this.#documents.revision;
  }

  get(name: DocumentName): PublishedDocument | undefined {
    return this.#documents.get(name);
  }

  getVersion(name: DocumentName): number {
    return this.#documents.get(name)?.version ?? 0;
  }

  listVersions(): readonly DocumentVersion[] {
    return this.#documents.list().map(({ id, version }) => ({ id, version }));
  }

  /** Whether both documents are available, so that requests can be served. */
  isComplete(): boolean {
    return this.#lists !== undefined && this.#vmList !== undefined;
  }

  /** Accepts a publication if it is valid and newer than the active one. */
  offer(name: DocumentName, text: string): OfferResult {
    return name === 'lists' ? this.#offerLists(text) : this.#offerVmList(text);
  }

  #offerLists(text: string): OfferResult {
    const checked = checkText(text, checkLists);
    if (!checked.ok) return this.recordRefusal(checked.faults);
    const result = this.#accept('lists', text, checked.value);
    if (result.kind === 'accepted') this.#lists = checked.value;
    return result;
  }

  #offerVmList(text: string): OfferResult {
    const checked = checkText(text, checkVmList);
    if (!checked.ok) return this.recordRefusal(checked.faults);
    const result = this.#accept('vm-list', text, checked.value);
    if (result.kind === 'accepted') this.#vmList = checked.value;
    return result;
  }

  /** Counts a publication that is refused. */
  recordRefusal(faults: readonly ValidationFault[]): OfferResult {
    this.#refusedCount += 1;
    return { kind: 'refused', faults };
  }

  #accept(id: DocumentName, text: string, { version }: Versioned): OfferResult {
    if (version <= this.getVersion(id)) return { kind: 'not-newer', version };
    this.#documents.put({ id, version, text });
    return { kind: 'accepted', version };
  }
}
