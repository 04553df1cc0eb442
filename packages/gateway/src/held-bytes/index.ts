export { BodyBuffer } from './body-buffer.js';
export { HeldBytes } from './held-bytes.js';
export type { HeldAnswer } from './held-answer.js';
export { computeMaxHeldBytes } from './compute-max-held-bytes.js';
