export { formatBody, parseBody } from './codec.js';
export { exchangeRowsSchema, formatExchange, parseExchange } from './exchange-rows.js';
export type { ExchangeRows } from './exchange-rows.js';
export { FleetSocket } from './fleet-socket.js';
export type { DatagramHandler, DatagramTag, FleetSocketDependencies } from './fleet-socket.js';
export { formatMember, memberRowSchema, parseMember } from './member-row.js';
export type { MemberRow } from './member-row.js';
