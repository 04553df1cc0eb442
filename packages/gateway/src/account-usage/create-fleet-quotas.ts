/**
 * Connects the quotas of client accounts to the fleet of a daemon.
 */
import type { Clock } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

import type { FleetSocket } from '../datagrams/index.js';
import type { FleetLinks } from '../fleet/index.js';
import type { GatewaySettings } from '../settings/index.js';
import { AccountQuotas } from './account-quotas.js';

export type FleetQuotasDependencies = {
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: GatewaySettings;
  readonly fleet: FleetLinks;
  readonly socket: FleetSocket;
  /** Part of the fleet that the membership sees, from 0 to 1. */
  readonly getVisiblePart: () => number;
};

export function createFleetQuotas(dependencies: FleetQuotasDependencies): AccountQuotas {
  const { clock, log, settings, fleet, socket, getVisiblePart } = dependencies;
  const { quotaWindowMs, quotaOvershoot, quotaSlack } = settings.bounds;
  const { membership, roles } = fleet;
  const quotas = new AccountQuotas({
    clock,
    getWallTime: () => Date.now(),
    schedule: (run, delayMs) => {
      const timer = setTimeout(run, delayMs);
      return () => clearTimeout(timer);
    },
    log,
    selfId: settings.id,
    selfAddress: settings.reports.address,
    startId: membership.self.incarnation,
    bounds: { windowMs: quotaWindowMs, overshoot: quotaOvershoot, slack: quotaSlack },
    listDispatcherIds: () => roles.listAllDispatchers().map(({ id }) => id),
    isRecipient: () => fleet.isDispatcher || membership.self.state === 'leaving',
    listRecipients: () => fleet.listReportRecipients(),
    getVisiblePart,
    send: (body, addresses) =>
      addresses.forEach((address) => socket.send('account-usage', body, address)),
  });
  socket.setHandler('account-usage', (body, sender) => quotas.accept(body, sender));
  return quotas;
}
