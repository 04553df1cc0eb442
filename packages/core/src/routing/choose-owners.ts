/**
 * Chooses the daemons that dispatch a service (its owners) and assigns each slot to one of them.
 * Both use rendezvous hashing over the membership and the VM list, so daemons with the same view
 * reach the same result without communicating, and a small membership change moves few slots.
 */
import type { HashText } from '../runtime/index.js';
import type { Upstream } from '../lists/index.js';
import { TopByDataCentre } from './top-by-data-centre.js';
import type { DaemonLocation, Slot, SlotAssignment } from './types.js';

const SLOTS_PER_OWNER = 10;
const MIN_OWNERS = 3;

type Scored<Item> = { readonly item: Item; readonly score: number };

function rankByHash<Item extends { readonly id: string }>(
  key: string,
  items: readonly Item[],
  hash: HashText,
): readonly Item[] {
  return items
    .map((item): Scored<Item> => ({ item, score: hash(`${key}|${item.id}`) }))
    .sort((left, right) => right.score - left.score || (left.item.id < right.item.id ? -1 : 1))
    .map(({ item }) => item);
}

// Prime just below 2^26, so that the product of two residues is exact in a double.
const SCORE_MODULUS = 67_108_859;
const SCORE_MULTIPLIER = 48_271;

const residues = new WeakMap<DaemonLocation, number>();

/** Hash of a daemon's id, cached per daemon object because placement needs it for every service. */
function getResidue(daemon: DaemonLocation, hash: HashText): number {
  const cached = residues.get(daemon);
  if (cached !== undefined) return cached;
  const residue = hash(daemon.id) % SCORE_MODULUS;
  residues.set(daemon, residue);
  return residue;
}

/** Rendezvous score of a key and a daemon, computed from the hashes of both. */
function computeScore(keyResidue: number, daemonResidue: number): number {
  const product = (keyResidue * daemonResidue) % SCORE_MODULUS;
  return (product * SCORE_MULTIPLIER + daemonResidue) % SCORE_MODULUS;
}

/**
 * Chooses `count` daemons for a key by rendezvous hashing, spread over the data centres: the
 * best of each data centre first, then the second best of each, and so on.
 */
export function chooseAcrossDataCentres<Item extends DaemonLocation>(
  key: string,
  daemons: readonly Item[],
  count: number,
  hash: HashText,
): readonly Item[] {
  const keyResidue = hash(key) % SCORE_MODULUS;
  const topDaemons = new TopByDataCentre<Item>(count);
  daemons.forEach((daemon) =>
    topDaemons.add(daemon, computeScore(keyResidue, getResidue(daemon, hash))),
  );
  return topDaemons.choose();
}

/** Number of daemons that dispatch a service with `slotCount` slots. */
export function computeOwnerCount(slotCount: number): number {
  return Math.max(MIN_OWNERS, Math.ceil(slotCount / SLOTS_PER_OWNER));
}

/** Lists the slots of upstreams. Ids are `<upstream>#<index>`. */
export function listSlots(upstreams: readonly Upstream[]): readonly Slot[] {
  return upstreams.flatMap((upstream) =>
    Array.from({ length: upstream.slots }, (_, index) => ({
      id: `${upstream.id}#${index}`,
      upstreamId: upstream.id,
      index,
    })),
  );
}

/** Chooses the daemons that dispatch a service. */
export function chooseOwners<Item extends DaemonLocation>(
  service: string,
  slotCount: number,
  daemons: readonly Item[],
  hash: HashText,
): readonly Item[] {
  return chooseAcrossDataCentres(`service|${service}`, daemons, computeOwnerCount(slotCount), hash);
}

/** Counts the slots assigned to each owner, and records which upstreams it has slots of. */
class OwnerLoads {
  readonly #counts = new Map<string, number>();

  readonly #upstreams = new Set<string>();

  readonly #maxSlotsPerOwner: number;

  constructor(maxSlotsPerOwner: number) {
    this.#maxSlotsPerOwner = maxSlotsPerOwner;
  }

  hasCapacity(ownerId: string): boolean {
    return (this.#counts.get(ownerId) ?? 0) < this.#maxSlotsPerOwner;
  }

  hasUpstream(ownerId: string, upstreamId: string): boolean {
    return this.#upstreams.has(`${ownerId}|${upstreamId}`);
  }

  add(ownerId: string, upstreamId: string): void {
    this.#counts.set(ownerId, (this.#counts.get(ownerId) ?? 0) + 1);
    this.#upstreams.add(`${ownerId}|${upstreamId}`);
  }
}

function assignSlot(
  slot: Slot,
  owners: readonly DaemonLocation[],
  loads: OwnerLoads,
  hash: HashText,
): SlotAssignment {
  const ranked = rankByHash(slot.id, owners, hash).filter(({ id }) => loads.hasCapacity(id));
  const ownerWithoutUpstream = ranked.find(({ id }) => !loads.hasUpstream(id, slot.upstreamId));
  const owner = (ownerWithoutUpstream ?? ranked[0]) as DaemonLocation;
  loads.add(owner.id, slot.upstreamId);
  return { ...slot, ownerId: owner.id };
}

/**
 * Assigns every slot to one owner by bounded-load rendezvous hashing. No owner gets more than an
 * even share, rounded up. The slots of one upstream go to different owners where possible, so that
 * several daemons can observe that upstream.
 */
export function assignSlots(
  slots: readonly Slot[],
  owners: readonly DaemonLocation[],
  hash: HashText,
): readonly SlotAssignment[] {
  if (owners.length === 0) return [];
  const loads = new OwnerLoads(Math.ceil(slots.length / owners.length));
  return rankByHash('slots', slots, hash).map((slot) => assignSlot(slot, owners, loads, hash));
}
