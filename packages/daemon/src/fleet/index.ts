export { DocumentSync } from './document-sync.js';
export { FleetView } from './fleet-view.js';
export type { ServiceView } from './fleet-view.js';
export { Gossip } from './gossip.js';
export { PeerLoads } from './peer-loads.js';
export { PauseWatch } from './pause-watch.js';
export { PeerReports } from './peer-reports.js';
