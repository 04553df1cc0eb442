/**
 * Which daemons dispatch a service, and which of them owns each slot. Both follow from the
 * membership and the VM list by rendezvous hashing, so daemons with the same view agree without
 * a word, and a small change of membership moves little.
 */
import type { HashText } from '../runtime/index.js';
import type { Upstream } from '../lists/index.js';
import { SpreadPicker } from './spread-picker.js';
import type { Placeable, Slot, SlotAssignment } from './types.js';

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

// Prime just below 2^26: products of two residues stay exact in a double.
const SCORE_MODULUS = 67_108_859;
const SCORE_MULTIPLIER = 48_271;

const residues = new WeakMap<Placeable, number>();

/** Hash of a daemon's id, kept with the row, since placement asks for it once a service. */
function getResidue(daemon: Placeable, hash: HashText): number {
  const known = residues.get(daemon);
  if (known !== undefined) return known;
  const residue = hash(daemon.id) % SCORE_MODULUS;
  residues.set(daemon, residue);
  return residue;
}

/** Rendezvous score of a key and a daemon, from the hashes of both. */
function computeScore(keyResidue: number, daemonResidue: number): number {
  const product = (keyResidue * daemonResidue) % SCORE_MODULUS;
  return (product * SCORE_MULTIPLIER + daemonResidue) % SCORE_MODULUS;
}

/**
 * Chooses `count` daemons for a key, spread over the data centres: the first of each data
 * centre, then the second of each, and so on.
 */
export function chooseSpread<Item extends Placeable>(
  key: string,
  daemons: readonly Item[],
  count: number,
  hash: HashText,
): readonly Item[] {
  const keyResidue = hash(key) % SCORE_MODULUS;
  const picker = new SpreadPicker<Item>(count);
  daemons.forEach((daemon) =>
    picker.offer(daemon, computeScore(keyResidue, getResidue(daemon, hash))),
  );
  return picker.choose();
}

/** How many daemons dispatch a service with so many slots. */
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
export function chooseOwners<Item extends Placeable>(
  service: string,
  slotCount: number,
  daemons: readonly Item[],
  hash: HashText,
): readonly Item[] {
  return chooseSpread(`service|${service}`, daemons, computeOwnerCount(slotCount), hash);
}

class OwnerLoads {
  readonly #counts = new Map<string, number>();

  readonly #upstreams = new Set<string>();

  readonly #limit: number;

  constructor(limit: number) {
    this.#limit = limit;
  }

  hasRoom(ownerId: string): boolean {
    return (this.#counts.get(ownerId) ?? 0) < this.#limit;
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
  owners: readonly Placeable[],
  loads: OwnerLoads,
  hash: HashText,
): SlotAssignment {
  const ranked = rankByHash(slot.id, owners, hash).filter(({ id }) => loads.hasRoom(id));
  const fresh = ranked.find(({ id }) => !loads.hasUpstream(id, slot.upstreamId));
  const owner = (fresh ?? ranked[0]) as Placeable;
  loads.add(owner.id, slot.upstreamId);
  return { ...slot, ownerId: owner.id };
}

/**
 * Assigns every slot to one owner by bounded-load rendezvous hashing: no owner has more than its
 * even share, rounded up, and the slots of one upstream go to different owners where they can, so
 * that several daemons see it.
 */
export function assignSlots(
  slots: readonly Slot[],
  owners: readonly Placeable[],
  hash: HashText,
): readonly SlotAssignment[] {
  if (owners.length === 0) return [];
  const loads = new OwnerLoads(Math.ceil(slots.length / owners.length));
  return rankByHash('slots', slots, hash).map((slot) => assignSlot(slot, owners, loads, hash));
}
