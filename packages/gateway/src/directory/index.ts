export { createDirectoryServer, createReadinessServer } from './directory-server.js';
