export {
  checkLists,
  checkShape,
  checkVmList,
  formatFault,
  formatFaults,
  convertZodError,
} from './check-lists.js';
export type { ValidationResult, ValidationFault } from './check-lists.js';
export { listsSchema, vmListSchema } from './schemas.js';
export { listServicePolicies } from './service-policies.js';
export type {
  Customer,
  EntryVm,
  KindRule,
  Lists,
  Plan,
  ServicePolicy,
  ServiceRule,
  Upstream,
  VmList,
  VmState,
} from './types.js';
