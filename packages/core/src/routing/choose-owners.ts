/**
 * Which daemons dispatch a service, and which of them owns each slot. Both follow from the
 * membership and the VM list by rendezvous hashing, so daemons with the same view agree without
 * a word, and a small change of membership moves little.
 */
import type { HashText } from '../platform/index.js';
import type { Upstream } from '../lists/index.js';
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

/** The place of each daemon among those of its data centre, given the ranking of all. */
function rankWithinDataCentre(ranked: readonly Placeable[]): ReadonlyMap<string, number> {
  const placesByDataCentre = new Map<string, number>();
  const pairs = ranked.map((daemon) => {
    const place = placesByDataCentre.get(daemon.dataCentre) ?? 0;
    placesByDataCentre.set(daemon.dataCentre, place + 1);
    return [daemon.id, place] as const;
  });
  return new Map(pairs);
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
  const ranked = rankByHash(key, daemons, hash);
  const places = rankWithinDataCentre(ranked);
  return [...ranked]
    .sort((left, right) => (places.get(left.id) ?? 0) - (places.get(right.id) ?? 0))
    .slice(0, count);
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
