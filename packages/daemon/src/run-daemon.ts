/**
 * Runs a daemon as the work of a whole process: until it is asked to stop.
 */
import { Daemon } from './daemon.js';
import type { Settings } from './settings/index.js';

/** Starts a daemon; SIGTERM and SIGINT stop it as planned and end the process. */
export async function runDaemon(settings: Settings): Promise<void> {
  const daemon = new Daemon(settings);
  const stop = (): void => {
    daemon
      .stop()
      .then(() => process.exit(0))
      .catch(() => process.exit(1));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  await daemon.start();
}
