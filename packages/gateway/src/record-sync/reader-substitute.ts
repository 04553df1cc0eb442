/**
 * The daemon that reads the store in the place of silent readers, as one of its neighbours sees it.
 *
 * Several daemons may begin to read for the same reason, and all of them tell their neighbours. Of
 * those, the one with the lowest id goes on, so that all neighbours choose the same one without
 * talking to each other.
 */

/** A substitute that was not heard for this long is followed no longer. */
const LIFETIME_MS = 1500;
/** Daemons that begin to read for the same reason do so within this time. */
const CHOICE_MS = 300;

export class ReaderSubstitute {
  #known: { readonly id: string; readonly heardAt: number } | undefined;

  /** The id of the substitute; undefined if there is none, or if it is silent too. */
  find(now: number): string | undefined {
    const known = this.#known;
    return known && now - known.heardAt <= LIFETIME_MS ? known.id : undefined;
  }

  /** Records an update of a daemon, which may be the substitute. */
  recordHeard(id: string, now: number): void {
    if (this.#known?.id === id) this.#known = { id, heardAt: now };
  }

  /** Offers a daemon that has begun to read; one that began at the same time may come before it. */
  offer(id: string, now: number): void {
    const known = this.#known;
    const isBehind = known && known.id < id && now - known.heardAt <= CHOICE_MS;
    if (!isBehind) this.#known = { id, heardAt: now };
  }
}
