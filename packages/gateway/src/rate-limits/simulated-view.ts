/**
 * What one daemon of a simulated fleet knows of the others, for tests.
 */
import type { ShareMember } from '@baobabline/core';

/** Silence after which a daemon is taken for dead. */
const DETECTION_MS = 2000;

function getDataCentre(daemonId: string): string {
  return daemonId.split('-')[0] ?? '';
}

export class SimulatedView {
  revision = 0;

  #heardAt: ReadonlyMap<string, number> = new Map();

  #present: readonly string[] = [];

  #left: readonly string[] = [];

  #dispatchers: readonly { readonly id: string }[] = [];

  get dispatchers(): readonly { readonly id: string }[] {
    return this.#dispatchers;
  }

  listUnknown(ids: readonly string[]): readonly string[] {
    return ids.filter((id) => !this.#heardAt.has(id));
  }

  listMembers(): readonly ShareMember[] {
    return [...this.#heardAt.keys()].map((id) => ({
      id,
      dataCentre: getDataCentre(id),
      isPresent: this.#present.includes(id),
      hasLeft: this.#left.includes(id),
    }));
  }

  /** Applies who is heard now, in the order in which they started, and who has left. */
  apply(heard: readonly string[], left: readonly string[], now: number): void {
    this.#heardAt = new Map([...this.#heardAt, ...heard.map((id) => [id, now] as const)]);
    const order = [...heard, ...this.#present.filter((id) => !heard.includes(id))];
    const present = order.filter(
      (id) => !left.includes(id) && now - (this.#heardAt.get(id) ?? 0) < DETECTION_MS,
    );
    if (present.join() === this.#present.join() && left.join() === this.#left.join()) return;
    this.#present = present;
    this.#left = left;
    this.revision += 1;
    const dataCentres = [...new Set(present.map(getDataCentre))];
    this.#dispatchers = dataCentres.flatMap((name) =>
      present
        .filter((id) => getDataCentre(id) === name)
        .slice(0, 1)
        .map((id) => ({ id })),
    );
  }
}
