/**
 * The ranks by which the readers of the store are chosen, among the daemons that may be a source of
 * records for this one: in an upgrade, daemons of both versions have readers of their own.
 */
import type { Member } from '@baobabline/core';

import type { FleetLinks } from '../fleet/index.js';
import type { PeerFormats } from './peer-formats.js';

export type ReaderRanksDependencies = {
  readonly selfId: string;
  readonly dataCentre: string;
  /** Number of readers per data centre. */
  readonly readerCount: number;
  readonly fleet: Pick<FleetLinks, 'roles' | 'membership'>;
  readonly formats: PeerFormats;
};

export class ReaderRanks {
  readonly #dependencies: ReaderRanksDependencies;

  constructor(dependencies: ReaderRanksDependencies) {
    this.#dependencies = dependencies;
  }

  /** The daemons of the own data centre in order of rank, this one included. */
  listNear(): readonly Member[] {
    return this.#listRanked(this.#dependencies.dataCentre);
  }

  /** The readers of the other data centres. */
  listFarReaders(): readonly Member[] {
    const { fleet, formats, dataCentre, readerCount } = this.#dependencies;
    const isFar = (member: Member): boolean => member.dataCentre !== dataCentre;
    if (!formats.hasForeign) return fleet.roles.listTopRanked(readerCount).filter(isFar);
    const far = fleet.membership.members.list().filter(isFar);
    return [...new Set(far.map((member) => member.dataCentre))].flatMap((name) =>
      this.#listRanked(name).slice(0, readerCount),
    );
  }

  /** Rank of this daemon in its data centre, starting at 0; -1 if it is no candidate. */
  get ownRank(): number {
    return this.listNear().findIndex(({ id }) => id === this.#dependencies.selfId);
  }

  get isReader(): boolean {
    const { ownRank } = this;
    return ownRank >= 0 && ownRank < this.#dependencies.readerCount;
  }

  /** Whether daemons are known that are no source, and none yet that is one and reads. */
  get lacksReader(): boolean {
    const { formats, readerCount, selfId } = this.#dependencies;
    if (!formats.hasForeign) return false;
    return !this.listNear()
      .slice(0, readerCount)
      .some((member) => member.id !== selfId && formats.judge(member) === 'same');
  }

  #listRanked(dataCentre: string): readonly Member[] {
    const { fleet, formats } = this.#dependencies;
    const ranked = fleet.roles.listRankedDaemons(dataCentre);
    if (!formats.hasForeign) return ranked;
    return ranked.filter((member) => formats.judge(member) !== 'foreign');
  }
}
