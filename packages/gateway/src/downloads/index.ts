export { DownloadGate } from './download-gate.js';
export type { DownloadGatePorts, DownloadState } from './download-gate.js';
