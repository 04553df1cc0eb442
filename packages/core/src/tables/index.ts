export { Table } from './table.js';
export type { Row } from './table.js';
