export { gatewaySettingsSchema, parseGatewaySettings } from './gateway-settings.js';
export type { GatewayEndpoint, GatewaySettings } from './gateway-settings.js';
