/**
 * Precedence of updates about one member: the higher incarnation wins, then the higher version,
 * then the higher state in `STATE_PRECEDENCE`. Merging is commutative and idempotent, so the order
 * of messages does not matter. The exception is the state `left`, which only a higher incarnation
 * replaces.
 */
import type { Member, MemberState } from './types.js';

const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  joining: 0,
  serving: 1,
  leaving: 2,
  suspect: 3,
  dead: 4,
  left: 5,
};

/** Whether `candidate` takes precedence over `known`. */
export function isNewerMember(candidate: Member, known: Member | undefined): boolean {
  if (!known) return true;
  if (candidate.incarnation !== known.incarnation) return candidate.incarnation > known.incarnation;
  if (known.state === 'left') return false;
  if (candidate.version !== known.version) return candidate.version > known.version;
  return STATE_PRECEDENCE[candidate.state] > STATE_PRECEDENCE[known.state];
}

/** Whether the member accepts new requests. */
export function isServing(member: Member): boolean {
  return member.state === 'serving';
}

/** Whether the member may still answer: it is neither dead nor has it left. */
export function isPresent(member: Member): boolean {
  return member.state !== 'dead' && member.state !== 'left';
}
