/**
 * How this version decodes the records of the store. It rises with each change of what is decoded or
 * how, so that daemons of different versions do not take each other's records for the store's.
 */
export const RECORD_FORMAT = 1;
