export { FleetLinks } from './fleet-links.js';
