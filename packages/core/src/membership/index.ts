export { computeExpectedFleetSize } from './expected-fleet-size.js';
export { Membership } from './membership.js';
export { isNewerMember, isPresent, isServing } from './compare-members.js';
export { DEFAULT_MEMBERSHIP_SETTINGS, MEMBER_STATES, memberSchema } from './types.js';
export type { Member, MembershipSettings, MemberState } from './types.js';
