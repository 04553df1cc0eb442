/**
 * A member of the fleet as a row in a datagram, which takes a third of the bytes of its JSON.
 */
import type { Member, MemberState } from '@baobabline/core';
import * as z from 'zod';

const STATES: readonly MemberState[] = ['joining', 'serving', 'leaving', 'suspect', 'left', 'dead'];

export const memberRowSchema = z.tuple([
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.string(),
  z.number(),
  z.number(),
  z
    .int()
    .min(0)
    .max(STATES.length - 1),
  z.number().positive(),
  z.number().min(0),
]);

export type MemberRow = z.infer<typeof memberRowSchema>;

export function formatMember(member: Member): MemberRow {
  return [
    member.id,
    member.address,
    member.peerPort,
    member.callerPort,
    member.dataCentre,
    member.incarnation,
    member.version,
    STATES.indexOf(member.state),
    member.capacity,
    member.load,
  ];
}

export function parseMember(row: MemberRow): Member {
  const [id, address, peerPort, callerPort, dataCentre, incarnation, version] = row;
  const [, , , , , , , stateIndex, capacity, load] = row;
  return {
    id,
    address,
    peerPort,
    callerPort,
    dataCentre,
    incarnation,
    version,
    state: STATES[stateIndex] ?? 'suspect',
    capacity,
    load,
  };
}
