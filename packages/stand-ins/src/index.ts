export { KeyValueService } from './platform-services/key-value-service.js';
export type { ReadCounts, ServiceMode } from './platform-services/key-value-service.js';
export { UpstreamStandIn } from './upstream/upstream.js';
export { FAULT_KINDS } from './upstream/types.js';
export type {
  Arrival,
  FaultKind,
  RunCount,
  UpstreamFault,
  UpstreamSettings,
  WorkKind,
} from './upstream/types.js';
export { FaultProxy } from './fault-proxy/fault-proxy.js';
export type { Direction, DirectionFault } from './fault-proxy/fault-proxy.js';
export { CallerConnection } from './platform/caller-connection.js';
export type { ConnectionReply, ConnectionRequest } from './platform/caller-connection.js';
export { buildAnswerBody, InstanceStandIn, readQuery } from './platform/instance-stand-in.js';
export type { InstanceFault, InstanceRun, InstanceSettings } from './platform/instance-stand-in.js';
export { ENDLESS_PARTS, EndlessInstance } from './platform/endless-instance.js';
export type { EndlessPart } from './platform/endless-instance.js';
export { CrashScene } from './platform/crash-scene.js';
export type { CrashSceneSettings, SceneCrash, SceneReply } from './platform/crash-scene.js';
export { StoreStandIn } from './platform/store-stand-in.js';
export type { StoreCopy, StoreMode } from './platform/store-stand-in.js';
export {
  formatGatewaySettings,
  GATEWAY_PORTS,
  GatewayProcess,
} from './platform/gateway-process.js';
export type { GatewayProcessSettings } from './platform/gateway-process.js';
export { GatewayScene } from './platform/gateway-scene.js';
export type { GatewaySceneSettings } from './platform/gateway-scene.js';
export { PeerStandIn } from './platform/peer-stand-in.js';
export type { PeerStandInSettings } from './platform/peer-stand-in.js';
export { buildStoreConfiguration, buildStoreEntry } from './platform/store-records.js';
export type { PublishedAccount, PublishedRoute } from './platform/store-records.js';
export { startStalls, startThrottle, StopLoad } from './platform/stop-load.js';
export type { LoadFigures, LoadOutcome, StopLoadSettings } from './platform/stop-load.js';
export { listCut, SCENE_HOST, StopScene, waitUntilMet } from './platform/stop-scene.js';
export type {
  ProcessExit,
  SceneOutcome,
  SceneRequest,
  StopSceneSettings,
} from './platform/stop-scene.js';
export { RawCaller } from './platform/raw-caller.js';
export { WireCaller } from './platform/wire-caller.js';
export type { WireReply, WireRequest } from './platform/wire-caller.js';
export { DirectoryCaller } from './platform/directory-caller.js';
export type {
  CallerAttempt,
  CallerRequest,
  DirectoryCallerSettings,
} from './platform/directory-caller.js';
