export { getDeployment } from './deployment/deployments.js';
export { DaemonProcess } from './harness/daemon-process.js';
export { FleetHarness, waitFor } from './harness/fleet-harness.js';
export { Load } from './harness/load.js';
