/**
 * A member of the fleet as a row in a datagram, which takes a third of the bytes of its JSON.
 */
import { MEMBER_STATES, memberSchema } from '@baobabline/core';
import type { Member } from '@baobabline/core';
import * as z from 'zod';

const { id, address, peerPort, callerPort, dataCentre, incarnation, version, capacity, load } =
  memberSchema.shape;

export const memberRowSchema = z.tuple([
  id,
  address,
  peerPort,
  callerPort,
  dataCentre,
  incarnation,
  version,
  z
    .int()
    .min(0)
    .max(MEMBER_STATES.length - 1),
  capacity,
  load,
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
    MEMBER_STATES.indexOf(member.state),
    member.capacity,
    member.load,
  ];
}

export function parseMember(row: MemberRow): Member {
  return {
    id: row[0],
    address: row[1],
    peerPort: row[2],
    callerPort: row[3],
    dataCentre: row[4],
    incarnation: row[5],
    version: row[6],
    state: MEMBER_STATES[row[7]] ?? 'suspect',
    capacity: row[8],
    load: row[9],
  };
}
