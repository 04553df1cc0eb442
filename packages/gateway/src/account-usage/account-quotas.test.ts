import { createRandom, hashText } from '@baobabline/core';
import type { ClientAccount } from '@baobabline/core';
import { expect } from 'chai';

import { SimulatedQuotaFleet } from './simulated-quota-fleet.js';
import { formatUsageReport } from './usage-message.js';

const MS_PER_SECOND = 1000;
const LOSS = 0.025;
const NEAR_QUOTA = 0.9;
const WAVE_PERIOD_MS = 17_000;

type Entry = (dispatchers: readonly number[], now: number, draw: number) => number;

type Traffic = {
  readonly title: string;
  readonly choose: Entry;
  readonly getFactor?: (now: number) => number;
};

function buildAccount(name: string, ratePerSecond: number, burst: number): ClientAccount {
  return { name, keyDigests: [], ratePerSecond, burst };
}

const SMALL = buildAccount('small', 1.6, 16);
const MIDDLE = buildAccount('middle', 20, 40);
const LARGE = buildAccount('large', 300, 300);
const ACCOUNTS = [SMALL, MIDDLE, LARGE];

function createFleet(size: number, accounts = ACCOUNTS): SimulatedQuotaFleet {
  const dispatchersPerDataCentre = Math.min(5, Math.ceil(size / 18));
  return new SimulatedQuotaFleet({ seed: 1, size, dispatchersPerDataCentre, accounts, loss: LOSS });
}

function runTraffic(
  fleet: SimulatedQuotaFleet,
  forMs: number,
  rateOf: (account: ClientAccount) => number,
  onRequest: (account: ClientAccount, draw: number) => void,
): void {
  const random = createRandom(2);
  fleet.advance(forMs, () =>
    ACCOUNTS.forEach((account) => {
      const count = Math.floor(rateOf(account) / MS_PER_SECOND + random.next());
      Array.from({ length: count }).forEach(() => onRequest(account, random.next()));
    }),
  );
}

/** One bucket for the whole fleet, which refuses what no way to keep the quota could admit. */
class IdealBucket {
  #tokens = 0;

  #at = 0;

  takeToken({ ratePerSecond = 0, burst }: ClientAccount, now: number): boolean {
    const earned = ((now - this.#at) / MS_PER_SECOND) * ratePerSecond;
    this.#tokens = Math.min(burst, this.#tokens + earned);
    this.#at = now;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

describe('the quotas of client accounts', () => {
  const chooseAny: Entry = (dispatchers, _now, draw) =>
    dispatchers[Math.floor(draw * dispatchers.length)] ?? 0;
  const traffics: readonly Traffic[] = [
    { title: 'through one daemon', choose: () => 0 },
    { title: 'through ten daemons', choose: (_all, _now, draw) => Math.floor(draw * 10) },
    {
      title: 'that moves to another daemon every ten seconds',
      choose: (all, now) => all[Math.floor(now / 10_000) % all.length] ?? 0,
    },
    {
      title: 'in waves through all dispatchers',
      choose: chooseAny,
      getFactor: (now) => 1 + 0.3 * Math.sin((now / WAVE_PERIOD_MS) * 2 * Math.PI),
    },
  ];

  // A daemon that grants too little ahead of the reports refuses requests within the quota.
  [6, 36, 293].forEach((size) =>
    traffics.forEach(({ title, choose, getFactor = () => 1 }) => {
      it(`serve an account near its quota ${title} of ${size}`, () => {
        const fleet = createFleet(size);
        const dispatchers = fleet.listDispatchers();
        const counts = new Map(
          ACCOUNTS.map((account) => [
            account,
            { asked: 0, refused: 0, ideal: 0, bucket: new IdealBucket() },
          ]),
        );
        const rateOf = ({ ratePerSecond = 0 }: ClientAccount): number =>
          ratePerSecond * NEAR_QUOTA * getFactor(fleet.now);
        runTraffic(fleet, 60_000, rateOf, (account, draw) => {
          const permit = fleet.sendRequest(choose(dispatchers, fleet.now, draw), account);
          const count = counts.get(account);
          if (!count || !permit) return;
          const isIdeal = count.bucket.takeToken(account, fleet.now);
          // All start without tokens, which is not what is measured.
          if (fleet.now < 5000) return;
          count.asked += 1;
          count.refused += Number(permit.kind === 'refused');
          count.ideal += Number(!isIdeal);
        });
        // A daemon that is no dispatcher refuses its first request: it has to ask first.
        const strangers = Math.max(1, 10 - dispatchers.length);
        counts.forEach(({ asked, refused, ideal }, { name }) =>
          expect(refused - ideal, name).to.be.at.most(Math.max(0.01 * asked, strangers)),
        );
      }).timeout(120_000);
    }),
  );

  // After a loss of power nobody knows how many tokens are left.
  it('serve an account below its quota within a second after all daemons restart', () => {
    const fleet = createFleet(36);
    fleet.advance(4000, () => undefined);
    fleet.startDaemons(Array.from({ length: 36 }, (_, index) => index));
    const [first = 0] = fleet.listDispatchers();
    const servedAt = new Map<ClientAccount, number>();
    fleet.advance(1000, () => {
      if (fleet.now % 100 !== 0) return;
      ACCOUNTS.filter((account) => !servedAt.has(account)).forEach((account) => {
        if (fleet.sendRequest(first, account)?.kind === 'admitted')
          servedAt.set(account, fleet.now);
      });
    });
    expect([...servedAt.keys()]).to.have.members(ACCOUNTS);
  });

  // A Retry-After that is the same for all callers makes them come back together, most in vain.
  it('serve most callers when these come back at the time that they were told', () => {
    const fleet = createFleet(6);
    const random = createRandom(3);
    const returns: number[] = [];
    const served = { yes: 0, no: 0 };
    fleet.advance(13_000, () => {
      const isFlood = fleet.now > 2000 && fleet.now < 4000;
      const fresh = Math.floor((isFlood ? 0.09 : 0.012) + random.next());
      Array.from({ length: fresh }).forEach(() => {
        const permit = fleet.sendRequest(0, MIDDLE);
        if (isFlood && permit?.kind === 'refused') returns.push(fleet.now + permit.retryAfterMs);
      });
      returns
        .filter((at) => at > fleet.now - 1 && at <= fleet.now)
        .forEach(() => {
          const permit = fleet.sendRequest(0, MIDDLE);
          served[permit?.kind === 'admitted' ? 'yes' : 'no'] += 1;
        });
    });
    expect(served.yes + served.no).to.be.greaterThan(50);
    expect(served.yes).to.be.greaterThan(3 * served.no);
  });

  it('hold as soon as they are lowered, and end with their account', () => {
    const fleet = createFleet(6);
    const flood = (forMs: number): number => {
      const before = fleet.admissions.length;
      fleet.advance(forMs, () => fleet.sendRequest(fleet.now % 3, LARGE));
      return fleet.admissions.length - before;
    };
    flood(4000);
    fleet.setAccounts([{ ...LARGE, ratePerSecond: 2, burst: 2 }], 500);
    flood(2000);
    expect(flood(5000)).to.be.at.most((2 * 5 + 2) * 1.25 + 20);
    fleet.setAccounts([], 500);
    flood(1000);
    expect(flood(1000)).to.equal(1000);
  });

  // Datagrams are billed, and daemons of the version before log those that they do not know.
  it('send nothing while no account has a quota', () => {
    const fleet = createFleet(6, [{ ...SMALL, ratePerSecond: undefined }]);
    fleet.advance(3000, () => fleet.sendRequest(0, SMALL));
    expect(fleet.takeMostReceived()).to.equal(0);
    expect(fleet.admissions.length).to.equal(3000);
  });

  it('state the rate of an account over the fleet at every daemon that serves it', () => {
    const fleet = createFleet(36);
    const rateOf = ({ ratePerSecond = 0 }: ClientAccount): number => ratePerSecond / 2;
    runTraffic(fleet, 8000, rateOf, (account, draw) =>
      fleet.sendRequest(Math.floor(draw * 10), account),
    );
    [0, 9].forEach((index) => expect(fleet.getFleetRate(index, 'large')).to.be.within(110, 190));
  });

  it('reject datagrams that are no reports', () => {
    const fleet = createFleet(6);
    const bodies = [Buffer.alloc(0), Buffer.of(1, 2, 3), Buffer.from('["a",1]')];
    expect(bodies.map((body) => fleet.acceptBody(0, body))).to.deep.equal([false, false, false]);
  });

  // One daemon with a fault must not keep an account from being served for ever.
  it('go on after reports with figures that make no sense', () => {
    const fleet = createFleet(6);
    fleet.advance(3000, () => undefined);
    const fleetUsage = { tokens: -1e9, demand: 1e9, activeDaemons: 2 ** 32, ratePerSecond: 1e9 };
    const usage = { account: hashText('middle'), count: 1e15, demand: 1e9, fleet: fleetUsage };
    const head = { senderId: 'd-9', startId: 1, ageMs: 0, isLearning: false, recipientCount: 1 };
    [0, 1e15, 0].forEach((count, sequence) =>
      fleet.acceptBody(0, formatUsageReport({ ...head, sequence, usages: [{ ...usage, count }] })),
    );
    fleet.advance(7000, () => undefined);
    expect(fleet.sendRequest(0, MIDDLE)?.kind).to.equal('admitted');
  });
});
