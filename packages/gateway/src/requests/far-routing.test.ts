import { expect } from 'chai';

import {
  createRandom,
  DEFAULT_FAR_PLACEMENT_SETTINGS,
  DEFAULT_LINK_ESTIMATOR_SETTINGS,
  FailureEstimator,
} from '@baobabline/core';
import type { FarChoice, PlacementCandidate } from '@baobabline/core';

import type { UpstreamPool } from '../upstreams/index.js';
import { FarRouting } from './far-routing.js';
import type { FarTraffic } from './far-routing.js';
import { buildUpstreamRecord } from './request-fixtures.js';
import { UpstreamState } from './upstream-state.js';

const SLOTS = 20;
const NEEDS = { routeId: 'r', targetLeftMs: 400, timeLeftMs: 2000, excluded: new Set<string>() };
const QUEUE = { waiting: 60, arrivalsPerMs: 0.2 };

describe('the requests that leave a data centre', () => {
  let now: number;
  let near: UpstreamState;
  let upstreams: readonly UpstreamState[];
  let traffic: FarTraffic[];
  let shares: (readonly [at: number, share: number])[];
  let routing: FarRouting;

  function createState(id: string, dataCentre: string): UpstreamState {
    const record = { ...buildUpstreamRecord(id, SLOTS), dataCentre };
    return new UpstreamState(record, {} as UpstreamPool, 0);
  }

  function listCandidates(): readonly PlacementCandidate[] {
    return upstreams.map(({ record, inFlight }) => ({
      id: record.id,
      dataCentre: record.dataCentre,
      slots: SLOTS,
      inFlight,
      failureProbability: 0.01,
      isSuspect: false,
      isTestDue: false,
      warmUpMs: 0,
    }));
  }

  /** Lets a request arrive, and chooses for it. */
  function choose(): FarChoice | undefined {
    now += 25;
    routing.recordArrival();
    const request = {
      isRepeatable: false,
      canTryAgain: true,
      mayTest: true,
      computeMaxFailureProbability: () => 0.2,
      dataCentre: 'z1',
      bodyBytes: 100,
    };
    const all = listCandidates();
    const own = all.filter(({ dataCentre }) => dataCentre === 'z1');
    return routing.choose(request, NEEDS, own, () => all, QUEUE, upstreams);
  }

  function reportFar(count: number): void {
    const reported = new Map(count > 0 ? [[upstreams[1]?.reportName ?? 0, count] as const] : []);
    routing.recordReport('peer', 'z2', reported, upstreams);
  }

  beforeEach(() => {
    now = 0;
    traffic = [];
    shares = [];
    near = createState('near', 'z1');
    upstreams = [near, createState('far', 'z2')];
    routing = new FarRouting({
      clock: { now: () => now },
      random: createRandom(4),
      service: 's',
      dataCentre: 'z1',
      settings: DEFAULT_FAR_PLACEMENT_SETTINGS,
      trust: new FailureEstimator(),
      links: new FailureEstimator(DEFAULT_LINK_ESTIMATOR_SETTINGS),
      hasDispatcher: () => true,
      countSlots: ({ record }) => record.slots,
      onTraffic: (one) => traffic.push(one),
      onShareChange: (_service, share) => shares.push([now, share]),
    });
    Array.from({ length: SLOTS }).forEach(() => near.recordStart());
  });

  // The upstream's report name has to lead to its data centre, or news would count for nothing.
  it('go where reports show free slots, and stay when these show none', () => {
    reportFar(0);
    const choices = Array.from({ length: 40 }, choose);
    const left = choices.filter((choice) => choice?.upstreamId === 'far');
    expect(left.length).to.be.above(5);
    expect(left.every((choice) => choice?.farReason !== undefined)).to.equal(true);
    reportFar(SLOTS);
    const later = Array.from({ length: 20 }, choose);
    expect(later.filter((choice) => choice !== undefined)).to.deep.equal([]);
  });

  it('are counted with their bytes and those of the answers, by reason, and nothing else is', () => {
    const answer = { routeId: 'r', dataCentre: 'z2', elapsedMs: 100, bytes: 70 };
    routing.recordSent('z2', 'wait-saved', 500);
    routing.recordAnswer(answer, 'wait-saved', true);
    routing.recordSent('z1', undefined, 500);
    routing.recordAnswer({ ...answer, dataCentre: 'z1' }, undefined, true);
    expect(traffic).to.deep.equal([
      { service: 's', reason: 'wait-saved', requests: 1, bytes: 500 },
      { service: 's', reason: 'wait-saved', requests: 0, bytes: 70 },
    ]);
  });

  it('show in the log at most once a second, when the share has changed by a tenth', () => {
    reportFar(0);
    Array.from({ length: 100 }).forEach(() => {
      choose();
      routing.runTick();
    });
    expect(shares.length).to.be.within(1, 3);
    expect(
      shares.every(([, share], index) => share - (shares[index - 1]?.[1] ?? 0) > 0.1),
    ).to.equal(true);
  });
});
