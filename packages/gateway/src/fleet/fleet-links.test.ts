import type { Member, MemberState } from '@baobabline/core';
import { expect } from 'chai';
import { mock } from 'node:test';
import { setImmediate as waitForEvents } from 'node:timers/promises';

import { formatExchange } from '../datagrams/index.js';
import { FleetLinks } from './fleet-links.js';
import type { FleetLinksDependencies } from './fleet-links.js';

function buildMember(id: string, state: MemberState): Member {
  return {
    id,
    dataCentre: 'z1',
    address: `10.0.0.${id}`,
    peerPort: 1,
    callerPort: 2,
    incarnation: 1,
    version: 1,
    state,
    capacity: 4,
    load: 0,
  };
}

function createLinks(changes: Partial<FleetLinksDependencies> = {}): FleetLinks {
  return new FleetLinks({
    clock: { now: () => 0 },
    random: { next: () => 0 },
    settings: {
      id: '1',
      dataCentre: 'z1',
      callers: { address: '10.0.0.1', port: 2 },
      peers: { address: '10.0.0.1', port: 1 },
      machine: { cores: 1, memoryMb: 512 },
      dispatchersPerDataCentre: 2,
      seeds: [
        { address: '10.0.0.2', port: 1 },
        { address: '10.0.0.3', port: 1 },
      ],
    },
    socket: { setHandler: () => undefined, send: () => undefined },
    onSent: () => undefined,
    ...changes,
  } as unknown as FleetLinksDependencies);
}

describe("a daemon's links to the fleet", () => {
  it('report requests in flight also to a dispatcher that leaves, which still serves', () => {
    const links = createLinks();
    const listRecipients = (): readonly string[] =>
      links.listReportRecipients().map(({ id }) => id);
    links.membership.setOwnState('serving');
    links.membership.applyUpdates(['2', '3'].map((id) => buildMember(id, 'serving')));
    expect(listRecipients()).to.have.members(['2', '3']);
    links.membership.applyUpdates([{ ...buildMember('3', 'leaving'), version: 2 }]);
    expect(listRecipients()).to.have.members(['2', '3']);
    links.membership.applyUpdates([{ ...buildMember('3', 'left'), version: 3 }]);
    expect(listRecipients()).to.have.members(['2']);
    links.membership.setOwnState('leaving');
    expect(listRecipients()).to.have.members(['2']);
  });

  describe('of which no seed replies at its start', () => {
    const SEED = buildMember('2', 'serving');
    const MISSING_MS = 10_000;
    let calls = 0;
    let isSeedUp = false;
    let links: FleetLinks;

    async function passTime(ms: number): Promise<void> {
      if (ms <= 0) return;
      mock.timers.tick(100);
      await waitForEvents();
      await passTime(ms - 100);
    }

    beforeEach(async () => {
      mock.timers.enable({ apis: ['setTimeout', 'setInterval'] });
      calls = 0;
      isSeedUp = false;
      const send = async (): Promise<unknown> => {
        calls += 1;
        if (!isSeedUp) throw new Error('connection refused');
        const text = JSON.stringify(formatExchange({ from: SEED, updates: [], versions: [] }));
        return { status: 200, text };
      };
      links = createLinks({ calls: { send } as unknown as FleetLinksDependencies['calls'] });
      await links.join();
    });

    afterEach(() => {
      links.close();
      mock.timers.reset();
    });

    it('are not missing until the next round of gossip once one replies', async () => {
      expect(links.membership.listPeers()).to.deep.equal([]);
      isSeedUp = true;
      await passTime(100);
      expect(links.membership.listPeers()).to.deep.equal([SEED]);
      const joined = calls;
      await passTime(MISSING_MS);
      expect(calls).to.equal(joined);
    });

    it('are left to gossip after five seconds', async () => {
      await passTime(MISSING_MS);
      const asked = calls;
      expect(asked).to.be.greaterThan(2);
      await passTime(MISSING_MS);
      expect(calls).to.equal(asked);
    });

    it('are sought no more once it has closed them', async () => {
      links.close();
      const asked = calls;
      await passTime(MISSING_MS);
      expect(calls).to.equal(asked);
    });
  });
});
