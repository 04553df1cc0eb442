export type { Clock, HashText, RandomSource } from './types.js';
export { chooseOne, chooseSome, createRandom } from './random.js';
export { computeBytesDigest, computeDigest, hashText } from './hash.js';
