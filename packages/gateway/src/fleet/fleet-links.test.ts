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

  it('are not missing until the next round of gossip if it starts before its seeds', async () => {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval'] });
    const seed = buildMember('2', 'serving');
    const answersFrom = 3;
    let calls = 0;
    const send = async (): Promise<unknown> => {
      calls += 1;
      if (calls < answersFrom) throw new Error('connection refused');
      const text = JSON.stringify(formatExchange({ from: seed, updates: [], versions: [] }));
      return { status: 200, text };
    };
    const links = createLinks({ calls: { send } as unknown as FleetLinksDependencies['calls'] });
    await links.join();
    expect(links.membership.listPeers()).to.deep.equal([]);
    mock.timers.tick(100);
    await waitForEvents();
    expect(links.membership.listPeers()).to.deep.equal([seed]);
    const known = calls;
    mock.timers.tick(1000);
    await waitForEvents();
    expect(calls).to.equal(known);
    links.close();
    mock.timers.reset();
  });
});
