export { checkKey, checkKeyAgain, UNBOUNDED_KEY_VALIDITY } from './check-key.js';
export type { KeyCheck, KeyValidity, RequestAccount } from './check-key.js';
export { computeKeyDigest } from './key-digest.js';
