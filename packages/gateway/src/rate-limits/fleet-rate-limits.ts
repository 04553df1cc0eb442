/**
 * Rate limits of upstreams across the fleet: this daemon's shares of them, and the exchange of what
 * upstreams stated with other daemons.
 */
import { hashText, isPresent, RateLimitShares } from '@baobabline/core';
import type { Clock, RateLimitChange } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

import type { FleetSocket } from '../datagrams/index.js';
import type { FleetLinks } from '../fleet/index.js';
import { formatRateLimits, parseRateLimits } from './rate-limit-message.js';
import type { ReportedRateLimit } from './rate-limit-message.js';
import { RateLimitReports } from './rate-limit-reports.js';
import type { UpstreamStatement } from './rate-limit-reports.js';

/** The services whose upstreams may have rate limits. */
export interface LimitedServices {
  listOwnRateLimits(): readonly UpstreamStatement[];
  applyRateLimits(limits: readonly ReportedRateLimit[]): void;
}

export type FleetRateLimitsDependencies = {
  readonly clock: Clock;
  readonly log: Log;
  readonly selfId: string;
  /** Addresses of the daemons that are contacted first. */
  readonly seeds: readonly string[];
  readonly fleet: FleetLinks;
  readonly socket: FleetSocket;
  readonly services: LimitedServices;
};

export class FleetRateLimits {
  readonly #dependencies: FleetRateLimitsDependencies;

  readonly #shares: RateLimitShares;

  readonly #reports: RateLimitReports;

  constructor(dependencies: FleetRateLimitsDependencies) {
    this.#dependencies = dependencies;
    const { clock, selfId, seeds, fleet, socket, services } = dependencies;
    const { membership, roles } = fleet;
    this.#shares = new RateLimitShares(selfId, {
      clock,
      getWallTime: () => Date.now(),
      hash: hashText,
      getRevision: () => membership.revision,
      listMembers: () =>
        membership.members.list().map((member) => ({
          id: member.id,
          dataCentre: member.dataCentre,
          isPresent: isPresent(member),
          hasLeft: member.state === 'left',
        })),
      listUnknownSeeds: () => {
        const known = new Set(membership.members.list().map(({ address }) => address));
        return seeds.filter((address) => !known.has(address));
      },
      listDispatchers: () => roles.listAllDispatchers(),
      isLeaving: () => membership.self.state === 'leaving',
    });
    this.#reports = new RateLimitReports({
      clock,
      listOwnStatements: () => services.listOwnRateLimits(),
      countRecipients: () => this.#dependencies.fleet.listNearAndDispatchers().length,
      send: (limits) => this.#send(limits),
    });
    socket.setHandler('rate-limits', (body) => this.#accept(body));
  }

  /** Part of an upstream's rate limit that this daemon may use now, from 0 to 1. */
  getShare(upstreamId: string): number {
    return this.#shares.getShare(upstreamId);
  }

  /** Part of the fleet that this daemon has seen for some seconds, from 0 to 1. */
  getVisiblePart(): number {
    return this.#shares.getVisiblePart();
  }

  /** The same as far as it falls at once; it rises late only once this daemon has run for a while. */
  getLatestVisiblePart(): number {
    return this.#shares.getLatestVisiblePart();
  }

  /** Logs a change of an upstream's rate limit, and reports it if it came in an answer. */
  recordChange(upstream: string, change: RateLimitChange, source: 'answer' | 'report'): void {
    const share = this.getShare(upstream);
    this.#dependencies.log.info('rate-limit', { upstream, ...change, source, share });
    if (source === 'answer') this.#reports.recordChange();
  }

  runTick(): void {
    this.#shares.refresh();
    this.#reports.runTick();
  }

  stop(): void {
    this.#reports.stop();
  }

  #accept(body: Buffer): boolean {
    const limits = parseRateLimits(body);
    if (limits) this.#dependencies.services.applyRateLimits(limits);
    return limits !== undefined;
  }

  #send(limits: readonly ReportedRateLimit[]): void {
    const body = formatRateLimits(limits);
    this.#dependencies.fleet
      .listNearAndDispatchers()
      .forEach(({ address }) => this.#dependencies.socket.send('rate-limits', body, address));
  }
}
