/**
 * What daemons tell each other about their key leases.
 */
import type { Member } from '../membership/index.js';
import type { ConfigurationPosition } from '../replication/index.js';

/** A daemon that may be asked for the age of its lease. */
export type LeaseSource = Pick<Member, 'id' | 'address'>;

/** The daemons that may be asked, without the one that asks. */
export type LeaseSources = {
  /** Readers of the store in the own data centre, by rank. */
  readonly nearReaders: readonly LeaseSource[];
  /** The other daemons of the own data centre, by rank; the first ones read in a reader's place. */
  readonly nearOthers: readonly LeaseSource[];
  readonly farReaders: readonly LeaseSource[];
};

export type LeaseAnswer = {
  readonly nonce: number;
  /** Age of the answering daemon's lease, in milliseconds; Infinity if it never had one. */
  readonly ageMs: number;
  /** Time until that daemon expects its next confirmation, in milliseconds. */
  readonly renewsInMs: number;
  /** The configuration that its lease is about; its eras end with the one in which it was proven. */
  readonly configuration: ConfigurationPosition;
};
