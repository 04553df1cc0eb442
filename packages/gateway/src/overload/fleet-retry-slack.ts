/**
 * This daemon's share of the slack of the fleet's retry budget, as its view of the fleet changes.
 */
import { RetrySlackShares } from '@baobabline/core';
import type { Clock, Member, SlackDispatcher } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

import type { FleetLinks } from '../fleet/index.js';
import type { GatewaySettings } from '../settings/index.js';

export type FleetRetrySlackDependencies = {
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: GatewaySettings;
  readonly fleet: FleetLinks;
  /** Part of the fleet that this daemon has seen for some seconds, from 0 to 1. */
  readonly getVisiblePart: () => number;
};

/**
 * Lower bound of the number of daemons by which the equal parts of the slack are divided. A daemon that
 * has just started or is partitioned knows only few of the others and would take too large a part.
 */
const MIN_DAEMON_COUNT = 64;

export class FleetRetrySlack {
  readonly #dependencies: FleetRetrySlackDependencies;

  readonly #shares: RetrySlackShares;

  #loggedShare = 0;

  #dispatchers: {
    readonly revision: number;
    readonly known: readonly Member[];
    readonly list: readonly SlackDispatcher[];
  } = { revision: -1, known: [], list: [] };

  constructor(dependencies: FleetRetrySlackDependencies) {
    this.#dependencies = dependencies;
    const { clock, settings, fleet, getVisiblePart } = dependencies;
    this.#shares = new RetrySlackShares(settings.id, {
      clock,
      windowMs: settings.bounds.retryWindowMs,
      listDispatchers: () => this.#listDispatchers(),
      getVisiblePart,
      countDaemons: () => Math.max(MIN_DAEMON_COUNT, fleet.countExpectedDaemons()),
    });
  }

  /** Part of the slack that this daemon may use within a window, from 0 to 1. */
  getShare(): number {
    return this.#shares.getShare();
  }

  runTick(): void {
    const share = this.getShare();
    if (share === this.#loggedShare) return;
    const before = this.#loggedShare;
    this.#loggedShare = share;
    this.#dependencies.log.info('retry-slack', { share, before });
  }

  /**
   * The dispatchers, and the daemons that serve although this one does not reach them: they may be
   * dispatchers in the view of others.
   */
  #listDispatchers(): readonly SlackDispatcher[] {
    const { membership, roles } = this.#dependencies.fleet;
    const { revision } = membership;
    const known = roles.listAllDispatchers();
    if (revision !== this.#dispatchers.revision || known !== this.#dispatchers.known) {
      const unreached = membership.listServing().filter(({ id }) => membership.brokenLinks.has(id));
      this.#dispatchers = { revision, known, list: [...known, ...unreached] };
    }
    return this.#dispatchers.list;
  }
}
