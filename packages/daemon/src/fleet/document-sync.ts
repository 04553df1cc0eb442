/**
 * Brings publications into this daemon: from the platform's services where it is a reader, and
 * from peers that hold newer ones. What is accepted is decided by the document store alone.
 */
import {
  chooseReaders,
  computeDigest,
  DOCUMENT_NAMES,
  drawFallbackDelayMs,
  hashText,
  joinParts,
  MAX_VALUE_BYTES,
  parseManifest,
} from '@baobabline/core';
import type {
  Clock,
  DocumentName,
  DocumentStore,
  DocumentVersion,
  Membership,
  PartReference,
  RandomSource,
} from '@baobabline/core';
import { promisify } from 'node:util';
import { gunzip, gzip } from 'node:zlib';

import type { DocumentAnswer, DocumentRequest } from '../peers/messages.js';
import type { PeerClient } from '../peers/peer-client.js';
import type { KeyValueClient } from '../runtime/key-value-client.js';
import type { Log } from '../runtime/log.js';
import type { Endpoint } from '../settings/index.js';

const compress = promisify(gzip);
const decompress = promisify(gunzip);

export type DocumentSyncPorts = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly membership: Membership;
  readonly documents: DocumentStore;
  readonly client: PeerClient;
  readonly services: Readonly<Record<DocumentName, KeyValueClient>>;
  readonly onAccepted: () => void;
};

const WATCH_MS = 10_000;
const RETRY_MS = 1000;
const RETRY_SPREAD_MS = 1000;
const FALLBACK_READS_PER_SECOND = 20;
const FALLBACK_AFTER_MS = 30_000;

type WatchState = { readonly id: DocumentName; readonly index: number; readonly nextAt: number };

export class DocumentSync {
  readonly #ports: DocumentSyncPorts;

  readonly #watches = new Map<DocumentName, WatchState>();

  readonly #fetching = new Set<string>();

  readonly #refusedTexts = new Set<string>();

  #fallbackAt: number;

  #stopped = false;

  constructor(ports: DocumentSyncPorts) {
    this.#ports = ports;
    this.#fallbackAt = ports.clock.now() + FALLBACK_AFTER_MS;
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Reads both documents once; resolves when both reads have ended, however they ended. */
  async readAll(): Promise<void> {
    await Promise.all(DOCUMENT_NAMES.map((name) => this.#readOnce(name)));
  }

  /** Starts watches that are due, if this daemon is a reader or nothing was heard for long. */
  runTick(): void {
    const now = this.#ports.clock.now();
    const isReader = this.#isReader();
    if (!isReader && now < this.#fallbackAt) return;
    if (!isReader) this.#scheduleFallback(now);
    DOCUMENT_NAMES.forEach((name) => this.#startWatch(name, now, isReader));
  }

  /** Fetches newer publications from the peer that told of them. */
  handleNewer(peer: Endpoint, versions: readonly DocumentVersion[]): void {
    this.#scheduleFallback(this.#ports.clock.now());
    versions.forEach(({ id }) => {
      this.#fetchFromPeer(peer, id).catch((error: Error) =>
        this.#ports.log.warn('document-fetch-failed', { document: id, reason: error.message }),
      );
    });
  }

  /** Answers a peer that asks for a publication. */
  async handleFetch({ name }: DocumentRequest): Promise<DocumentAnswer> {
    const document = this.#ports.documents.get(name);
    if (!document) return { compressed: '' };
    return { compressed: (await compress(document.text)).toString('base64') };
  }

  #isReader(): boolean {
    const { self } = this.#ports.membership;
    const readers = chooseReaders(self.dataCentre, this.#ports.membership.listServing(), hashText);
    return readers.length === 0 || readers.some(({ id }) => id === self.id);
  }

  #scheduleFallback(now: number): void {
    const { membership, random } = this.#ports;
    const delay = drawFallbackDelayMs(membership.members.size, FALLBACK_READS_PER_SECOND, random);
    this.#fallbackAt = now + FALLBACK_AFTER_MS + delay;
  }

  #startWatch(name: DocumentName, now: number, isReader: boolean): void {
    const state = this.#watches.get(name) ?? { id: name, index: 0, nextAt: 0 };
    if (state.nextAt > now || this.#stopped) return;
    this.#watches.set(name, { ...state, nextAt: Number.POSITIVE_INFINITY });
    const waitMs = isReader ? WATCH_MS : 0;
    this.#watchOnce(state, waitMs).catch((error: Error) => {
      this.#ports.log.warn('platform-service-away', { document: name, reason: error.message });
      this.#retryLater(name);
    });
  }

  async #watchOnce(state: WatchState, waitMs: number): Promise<void> {
    const service = this.#ports.services[state.id];
    const value = await (waitMs > 0 && state.index > 0
      ? service.watch(state.id, state.index, waitMs)
      : service.read(state.id));
    if (value && value.index !== state.index) await this.#takeValue(state.id, value.text);
    const nextAt = value ? 0 : this.#ports.clock.now() + RETRY_MS;
    this.#watches.set(state.id, { id: state.id, index: value?.index ?? 0, nextAt });
  }

  #retryLater(name: DocumentName): void {
    const { clock, random } = this.#ports;
    const nextAt = clock.now() + RETRY_MS + random.next() * RETRY_SPREAD_MS;
    this.#watches.set(name, { id: name, index: 0, nextAt });
  }

  async #readOnce(name: DocumentName): Promise<void> {
    try {
      const value = await this.#ports.services[name].read(name);
      if (value) await this.#takeValue(name, value.text);
    } catch (error) {
      const reason = (error as Error).message;
      this.#ports.log.warn('platform-service-away', { document: name, reason });
    }
  }

  async #takeValue(name: DocumentName, value: string): Promise<void> {
    const bytes = Buffer.byteLength(value);
    if (bytes > MAX_VALUE_BYTES) {
      this.#refuseSize(name, value, bytes);
      return;
    }
    const parts = parseManifest(value);
    this.#offer(name, parts ? await this.#readParts(name, parts) : value, 'platform');
  }

  async #readParts(name: DocumentName, parts: readonly PartReference[]): Promise<string> {
    const service = this.#ports.services[name];
    const read = await Promise.all(
      parts.map(async (part) => ({ ...part, text: (await service.read(part.key))?.text ?? '' })),
    );
    return joinParts(read, computeDigest);
  }

  async #fetchFromPeer(peer: Endpoint, name: DocumentName): Promise<void> {
    if (this.#fetching.has(name)) return;
    this.#fetching.add(name);
    try {
      const answer = await this.#ports.client.connect(peer).fetchDocument.mutate({ name });
      if (answer.compressed === '') return;
      const text = await decompress(Buffer.from(answer.compressed, 'base64'));
      this.#offer(name, text.toString('utf8'), `${peer.address}:${peer.port}`);
    } finally {
      this.#fetching.delete(name);
    }
  }

  #offer(name: DocumentName, text: string, source: string): void {
    const { documents, log, onAccepted } = this.#ports;
    const result = documents.offer(name, text);
    if (result.kind === 'accepted') {
      log.info('document-accepted', { document: name, version: result.version, source });
      onAccepted();
    }
    if (result.kind === 'refused') this.#logRefusal(name, text, source, result.faults);
  }

  #refuseSize(name: DocumentName, value: string, bytes: number): void {
    const allowed = `at most ${MAX_VALUE_BYTES} bytes; publish it in parts`;
    const faults = [{ field: '(root)', value: `${bytes} bytes`, allowed }];
    this.#ports.documents.recordRefusal(faults);
    this.#logRefusal(name, value, 'platform', faults);
  }

  #logRefusal(name: DocumentName, text: string, source: string, faults: readonly unknown[]): void {
    const digest = computeDigest(text);
    if (this.#refusedTexts.has(digest)) return;
    this.#refusedTexts.add(digest);
    this.#ports.log.error('document-refused', { document: name, source, faults });
  }
}
