export { AccountTable } from './account-table.js';
export { clientAccountsSchema } from './types.js';
export type { ClientAccount } from './types.js';
