/**
 * Chooses the daemon that may try a quarantined request, without communication: the dispatchers take
 * turns in an order that all of them compute alike. A daemon that sees less than half of the fleet,
 * or has just started, has no turn, so that the sides of a partition do not each make a trial.
 */
import type { HashText } from '@baobabline/core';

export type TrialTurnsDependencies = {
  readonly selfId: string;
  readonly hash: HashText;
  readonly listDispatchers: () => readonly { readonly id: string }[];
  /** Part of the fleet that this daemon has seen for some seconds, from 0 to 1. */
  readonly getVisiblePart: () => number;
};

/** Long enough for a trial to be known at all dispatchers before the next turn begins. */
const TURN_MS = 2000;
/** Time at both ends of a turn without a trial, since clocks and reports are inexact. */
const TURN_MARGIN_MS = 400;
const MIN_VISIBLE_PART = 0.5;

export class TrialTurns {
  readonly #dependencies: TrialTurnsDependencies;

  constructor(dependencies: TrialTurnsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Whether it is this daemon's turn to try a request so long after its quarantine ended. */
  mayTry(fingerprint: string, sinceReleaseMs: number): boolean {
    const { selfId, listDispatchers, getVisiblePart } = this.#dependencies;
    const intoTurnMs = sinceReleaseMs % TURN_MS;
    if (intoTurnMs < TURN_MARGIN_MS || intoTurnMs > TURN_MS - TURN_MARGIN_MS) return false;
    const ids = listDispatchers().map(({ id }) => id);
    if (!ids.includes(selfId) || getVisiblePart() <= MIN_VISIBLE_PART) return false;
    const turn = Math.floor(sinceReleaseMs / TURN_MS) % ids.length;
    return this.#rank(fingerprint, ids)[turn] === selfId;
  }

  #rank(fingerprint: string, ids: readonly string[]): readonly string[] {
    const { hash } = this.#dependencies;
    const score = (id: string): number => hash(`${fingerprint}|${id}`);
    return [...ids].sort((left, right) => score(left) - score(right) || (left < right ? -1 : 1));
  }
}
