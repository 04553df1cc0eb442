export { computeKeyDigest } from './caller-keys/index.js';
export { SourceRefusedError } from './dialect/index.js';
export type * from './dialect/index.js';
export { HttpClient } from './http/index.js';
export type { HttpResponse } from './http/index.js';
export { Gateway } from './gateway.js';
export type { GatewayPhase } from './gateway.js';
export { gatewaySettingsSchema, parseGatewaySettings } from './settings/index.js';
export type { GatewaySettings } from './settings/index.js';
