/**
 * Order of what is said about one member: a newer start wins, then the member's own newer word,
 * then the worse state. Merging is commutative and idempotent, so the order of messages does not
 * matter.
 */
import type { Member, MemberState } from './types.js';

const STATE_RANK: Readonly<Record<MemberState, number>> = {
  joining: 0,
  serving: 1,
  leaving: 2,
  suspect: 3,
  dead: 4,
  left: 5,
};

/** Whether `candidate` says something newer than `known`. */
export function isNewerMember(candidate: Member, known: Member | undefined): boolean {
  if (!known) return true;
  if (candidate.incarnation !== known.incarnation) return candidate.incarnation > known.incarnation;
  if (known.state === 'left') return false;
  if (candidate.version !== known.version) return candidate.version > known.version;
  return STATE_RANK[candidate.state] > STATE_RANK[known.state];
}

/** Whether the member takes new requests. */
export function isServing(member: Member): boolean {
  return member.state === 'serving';
}

/** Whether the member may still answer: everything but the dead and the departed. */
export function isPresent(member: Member): boolean {
  return member.state !== 'dead' && member.state !== 'left';
}
