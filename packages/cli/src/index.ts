export { runCli } from './cli.js';
