export { BodyBuffer } from './body-buffer.js';
export { HeldBytes } from './held-bytes.js';
export type { HeldAnswer } from './held-answer.js';
export { computeMaxHeldBytes } from './compute-max-held-bytes.js';
export { MIN_UNREAD_MS } from './unread-answers.js';
export type { UnreadAnswer, UnreadPorts } from './unread-answers.js';
