export { chooseNearFirst, chooseUpstream } from './choose-upstream.js';
export type { PlacementCandidate, PlacementChoice, PlacementRequest } from './choose-upstream.js';
