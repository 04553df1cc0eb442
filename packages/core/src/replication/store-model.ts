/**
 * A model of the store, its writers and a fleet that replicates it, for property tests. The store may
 * come back from any copy that was taken before; its writers then write again what was lost.
 */
import { hasAllKnown, Replica } from './index.js';
import type { KnownRevisions, RecordChanges, RegisteredUpstream, StoredRecord } from './index.js';
import type { RoutingConfiguration } from '../routes/index.js';

const CONFIGURATION_KEY = 'op/config';
const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

type UpstreamState = 'ready' | 'draining' | 'gone';

type Copy = {
  readonly items: ReadonlyMap<string, StoredRecord>;
  readonly events: readonly StoredRecord[];
  readonly revision: number;
};

/** A message between daemons that is still under way. */
type Message = { readonly to: number; readonly base: KnownRevisions; readonly body: RecordChanges };

export function buildConfiguration(version: number): RoutingConfiguration {
  return { version, routes: [], limits: LIMITS };
}

export function buildUpstream(
  id: string,
  state: RegisteredUpstream['state'] = 'ready',
): RegisteredUpstream {
  return {
    id,
    service: 's',
    address: '10.0.0.1',
    port: 80,
    dataCentre: 'z',
    slots: 3,
    state,
    warmUpMs: 0,
    bornAt: 1,
  };
}

export class StoreModel {
  readonly replicas: Replica[];

  /** Upstreams that a daemon has known as leaving or gone, by daemon. */
  readonly #knownAsLeft: Set<string>[];

  /** Changes of bounds that were known when a daemon last read the whole store. */
  readonly #readBoundChanges: number[] = [];

  /** Daemons whose last whole read kept what the store did not have, and that read it once more. */
  readonly #keepsMissing = new Set<number>();

  #copy: Copy = { items: new Map(), events: [], revision: 1 };

  #copies: readonly Copy[] = [];

  #era = 1;

  #version = 0;

  #upstreams: ReadonlyMap<string, UpstreamState> = new Map();

  #messages: readonly Message[] = [];

  /** Whether all that a restore has lost is written again. */
  #isSettled = true;

  #now = 0;

  readonly faults: string[] = [];

  constructor(daemons: number) {
    this.replicas = Array.from({ length: daemons }, () => new Replica());
    this.#knownAsLeft = this.replicas.map(() => new Set());
    this.putConfiguration();
  }

  get version(): number {
    return this.#version;
  }

  listReady(): readonly string[] {
    return [...this.#upstreams]
      .filter(([, state]) => state === 'ready')
      .map(([id]) => id)
      .sort();
  }

  putConfiguration(): void {
    this.#version += 1;
    this.#write({ key: CONFIGURATION_KEY, configuration: buildConfiguration(this.#version) });
  }

  addUpstream(): void {
    const id = `i-${this.#upstreams.size + 1}`;
    this.#setUpstream(id, 'ready');
  }

  /** An upstream drains, or one that drains leaves. */
  advanceUpstream(index: number): void {
    const present = [...this.#upstreams].filter(([, state]) => state !== 'gone');
    const [id, state] = present[index % Math.max(1, present.length)] ?? [];
    if (id !== undefined) this.#setUpstream(id, state === 'ready' ? 'draining' : 'gone');
  }

  takeCopy(): void {
    this.#copies = [...this.#copies, this.#copy].slice(-4);
  }

  restore(index: number): void {
    const copy = this.#copies[index % Math.max(1, this.#copies.length)];
    if (!copy) return;
    this.#copy = copy;
    // A copy that was taken in an era that is lost itself cannot come back.
    this.#copies = this.#copies.filter((one) => one.revision <= copy.revision);
    this.#era += 1;
    this.#isSettled = false;
  }

  /** Writers write again what differs from their state, in an order that the index changes. */
  settle(index: number): void {
    const newest = this.#copy.items.get(CONFIGURATION_KEY)?.configuration?.version;
    const writeConfiguration = (): void => {
      if (newest === this.#version) return;
      this.#write({ key: CONFIGURATION_KEY, configuration: buildConfiguration(this.#version) });
    };
    if (index % 2 === 0) writeConfiguration();
    this.#upstreams.forEach((state, id) => {
      if (this.#copy.items.get(`servers/${id}`)?.upstream?.state === state) return;
      if (state === 'gone' && !this.#copy.items.has(`servers/${id}`)) return;
      this.#setUpstream(id, state);
    });
    if (index % 2 === 1) writeConfiguration();
    this.#isSettled = true;
  }

  watch(daemon: number): void {
    const replica = this.replicas[daemon];
    const after = Math.floor(replica?.revision ?? 0);
    const needsFullRead =
      this.#keepsMissing.has(daemon) ||
      !replica?.hasCompleteRead ||
      replica?.boundChanges !== (this.#readBoundChanges[daemon] ?? 0) ||
      after > this.#copy.revision ||
      after === 0;
    if (replica?.era !== this.#era || needsFullRead) {
      this.#readAll(daemon);
      return;
    }
    const records = this.#copy.events.filter(({ revision }) => revision > after);
    const { revision } = this.#copy;
    const changes = { records, revision, isWhole: false };
    this.#apply(daemon, () => replica.applyStoreChanges(this.#era, changes, this.#now));
  }

  /** One daemon sends another what that one lacks; the message may arrive much later. */
  sendChanges(from: number, to: number): void {
    const base = this.replicas[to]?.requested ?? [];
    const body = this.replicas[from]?.listChangesSince(base);
    if (body) this.#messages = [...this.#messages, { to, base, body }];
  }

  acceptMessage(index: number): void {
    const message = this.#messages[index % Math.max(1, this.#messages.length)];
    if (!message) return;
    this.#messages = this.#messages.filter((one) => one !== message);
    const { to, base, body } = message;
    this.#apply(to, (replica) => {
      replica.recordEras(body.eras, this.#now);
      if (body.isWhole || hasAllKnown(replica.requested, base))
        replica.applyChanges(body, this.#now);
    });
  }

  exchange(from: number, to: number): void {
    const source = this.replicas[from];
    this.#apply(to, (replica) => {
      if (source) replica.applyChanges(source.listChangesSince(replica.requested), this.#now);
    });
  }

  resetDaemon(daemon: number): void {
    this.replicas[daemon] = new Replica();
    this.#knownAsLeft[daemon]?.clear();
    this.#readBoundChanges[daemon] = 0;
    this.#keepsMissing.delete(daemon);
    this.#messages = this.#messages.filter(({ to }) => to !== daemon);
  }

  #readAll(daemon: number): void {
    const records = [...this.#copy.items.values()];
    const { revision } = this.#copy;
    this.#apply(daemon, (replica) =>
      replica.applyStoreChanges(
        this.#era,
        { records, revision, isWhole: true },
        this.#now,
        !this.#isSettled,
      ),
    );
    if (this.#isSettled) this.#keepsMissing.delete(daemon);
    else this.#keepsMissing.add(daemon);
    this.#readBoundChanges[daemon] = this.replicas[daemon]?.boundChanges ?? 0;
  }

  #setUpstream(id: string, state: UpstreamState): void {
    this.#upstreams = new Map([...this.#upstreams, [id, state]]);
    const key = `servers/${id}`;
    if (state === 'gone') this.#write({ key });
    else this.#write({ key, upstream: buildUpstream(id, state) });
  }

  #write(content: Omit<StoredRecord, 'revision'>): void {
    const revision = this.#copy.revision + 1;
    const record = { ...content, revision };
    const items = new Map(this.#copy.items);
    if (record.upstream || record.configuration) items.set(record.key, record);
    else items.delete(record.key);
    this.#copy = { items, events: [...this.#copy.events, record], revision };
  }

  /** Changes a daemon's replica, and checks what may not happen by that. */
  #apply(daemon: number, change: (replica: Replica) => void): void {
    const replica = this.replicas[daemon];
    const left = this.#knownAsLeft[daemon];
    if (!replica || !left) return;
    const before = replica.configuration?.version ?? 0;
    const usedBefore = new Set(replica.listUpstreams().map(({ id }) => id));
    this.#now += 1;
    change(replica);
    const after = replica.configuration?.version ?? 0;
    if (after < before) this.faults.push(`daemon ${daemon}: version ${before} to ${after}`);
    const ready = new Set(
      replica.listUpstreams().flatMap(({ id, state }) => (state === 'ready' ? [id] : [])),
    );
    [...usedBefore].filter((id) => !ready.has(id)).forEach((id) => left.add(id));
    [...ready]
      .filter((id) => left.has(id) && this.#upstreams.get(id) !== 'ready')
      .forEach((id) => this.faults.push(`daemon ${daemon}: ${id} is used again`));
  }
}
