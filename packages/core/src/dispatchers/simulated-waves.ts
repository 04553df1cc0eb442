/**
 * One fleet under demand that comes in waves, for replays: four data centres with VMs of unequal CPUs,
 * callers that cache directory answers, and loads that are known elsewhere only after a delay.
 */
import { chooseOne, hashText } from '../runtime/index.js';
import type { RandomSource } from '../runtime/index.js';
import type { Member } from '../membership/index.js';
import { AdvertisedLoad } from './advertised-load.js';
import { computeCapacity } from './capacity.js';
import { chooseDispatchersForCaller } from './choose-dispatchers.js';
import { FleetRoles } from './fleet-roles.js';

export type WaveEvent = {
  readonly at: number;
  readonly dataCentre: number;
  /** Both large VMs stop without notice, or small ones join. */
  readonly kind: 'large-stop' | 'small-join';
  readonly count?: number;
};

export type WaveSettings = {
  readonly perSecond: number;
  readonly amplitude: number;
  readonly events: readonly WaveEvent[];
  readonly lengthMs: number;
};

export type WaveSample = {
  readonly at: number;
  readonly dataCentre: number;
  readonly offeredPerSecond: number;
  readonly dispatchers: number;
  readonly dispatcherCapacity: number;
  /** Requests in the queues of processors, as the longest wait of a daemon that runs. */
  readonly longestWaitMs: number;
  /** Requests per second that reached no daemon that runs. */
  readonly lostPerSecond: number;
};

type Daemon = {
  readonly id: string;
  readonly dataCentre: number;
  readonly incarnation: number;
  readonly capacity: number;
  readonly level: AdvertisedLoad;
  stoppedAt: number;
  /** Loads as they were advertised, the newest last. */
  loads: readonly { readonly at: number; readonly load: number }[];
  queued: number;
};

type Caller = { readonly name: string; list: readonly string[]; askAt: number };

const DATA_CENTRES = [0, 1, 2, 3];
const PERIOD_MS = 17_000;
const STEP_MS = 20;
const CALLERS = 120;
const SMALL_VMS = 50;
const LARGE = { cores: 1.35, linkMegabitsPerSecond: 140 };
const SMALL = { cores: 0.189, linkMegabitsPerSecond: 7 };
/** Until a change has reached the other daemons by gossip. */
const GOSSIP_MS = 1000;
/** Until a daemon that stopped is believed dead. */
const DETECTION_MS = 2500;
const RETRY_MS = 200;

export function simulateWaves(settings: WaveSettings, random: RandomSource): readonly WaveSample[] {
  let now = 0;
  const clock = { now: () => now };
  const createDaemon = (id: string, dataCentre: number, resources: typeof LARGE): Daemon => {
    const capacity = computeCapacity(resources);
    const level = new AdvertisedLoad(capacity, clock);
    const loads = [{ at: now, load: 0 }];
    const common = { stoppedAt: Number.POSITIVE_INFINITY, queued: 0 };
    return { id, dataCentre, incarnation: now, capacity, level, loads, ...common };
  };
  let daemons: readonly Daemon[] = DATA_CENTRES.flatMap((dataCentre) => [
    ...[0, 1].map((index) => createDaemon(`${dataCentre}-large-${index}`, dataCentre, LARGE)),
    ...Array.from({ length: SMALL_VMS }, (_, index) =>
      createDaemon(`${dataCentre}-small-${index}`, dataCentre, SMALL),
    ),
  ]);
  let candidates: readonly Member[] = [];
  const refreshCandidates = (): void => {
    candidates = daemons
      .filter(
        ({ stoppedAt, incarnation }) =>
          now < stoppedAt + DETECTION_MS && (now === 0 || now >= incarnation + GOSSIP_MS),
      )
      .map(({ id, dataCentre, incarnation, capacity, loads }) => ({
        id,
        dataCentre: String(dataCentre),
        address: '10.0.0.1',
        peerPort: 1,
        callerPort: 1,
        incarnation,
        version: 1,
        state: 'serving',
        capacity,
        load: loads.findLast(({ at }) => at + GOSSIP_MS <= now)?.load ?? 0,
      }));
  };
  const roles = new FleetRoles({ id: '0-small-0', dataCentre: '0' }, 1, {
    clock,
    getRevision: () => now,
    listCandidates: () => candidates,
  });
  const callers = DATA_CENTRES.map((dataCentre) =>
    Array.from({ length: CALLERS }, (_, index): Caller => ({
      name: `${dataCentre}-${index}`,
      list: [],
      askAt: 0,
    })),
  );
  const apply = ({ kind, dataCentre, count = 0 }: WaveEvent): void => {
    if (kind === 'large-stop') {
      daemons
        .filter((one) => one.dataCentre === dataCentre && one.id.includes('large'))
        .forEach((one) => Object.assign(one, { stoppedAt: now }));
      return;
    }
    daemons = [
      ...daemons,
      ...Array.from({ length: count }, (_, index) =>
        createDaemon(`${dataCentre}-new-${index}`, dataCentre, SMALL),
      ),
    ];
  };
  const findDaemon = (caller: Caller, byId: ReadonlyMap<string, Daemon>): Daemon | undefined => {
    const running = caller.list
      .flatMap((id) => byId.get(id) ?? [])
      .filter(({ stoppedAt }) => stoppedAt > now);
    // One that reaches nobody asks the directory again.
    if (running.length === 0) {
      Object.assign(caller, { askAt: Math.min(caller.askAt, now + RETRY_MS) });
    }
    return chooseOne(random, running);
  };
  return Array.from({ length: settings.lengthMs / STEP_MS }, (_, step) => step * STEP_MS).flatMap(
    (at) => {
      now = at;
      settings.events.filter((event) => event.at === at).forEach(apply);
      refreshCandidates();
      const byId = new Map(daemons.map((daemon) => [daemon.id, daemon]));
      const samples = DATA_CENTRES.map((dataCentre): WaveSample => {
        const phase = (at / PERIOD_MS + dataCentre / DATA_CENTRES.length) * 2 * Math.PI;
        const rate = settings.perSecond * (1 + settings.amplitude * Math.sin(phase));
        const dispatchers = roles.listDispatchers(String(dataCentre));
        const group = callers[dataCentre] ?? [];
        group
          .filter(({ askAt }) => askAt <= now)
          .forEach((caller) => {
            const chosen = chooseDispatchersForCaller(dispatchers, caller.name, hashText);
            const list = chosen.map(({ id }) => id);
            Object.assign(caller, { list, askAt: now + 1000 + random.next() * 4000 });
          });
        const arrivals = (rate * STEP_MS) / 1000;
        const count = Math.floor(arrivals) + (random.next() < arrivals % 1 ? 1 : 0);
        const lost = Array.from({ length: count }).filter(() => {
          const caller = group[Math.floor(random.next() * group.length)];
          const daemon = caller && findDaemon(caller, byId);
          if (!daemon) return true;
          daemon.level.recordArrival();
          daemon.queued += 1;
          return false;
        }).length;
        const running = daemons.filter(
          (one) => one.dataCentre === dataCentre && one.stoppedAt > now,
        );
        running.forEach((one) => {
          const load = one.level.refresh();
          const loads = load === one.loads.at(-1)?.load ? one.loads : [...one.loads, { at, load }];
          const queued = Math.max(0, one.queued - (one.capacity * STEP_MS) / 1000);
          Object.assign(one, { loads: loads.slice(-20), queued });
        });
        return {
          at,
          dataCentre,
          offeredPerSecond: rate,
          dispatchers: dispatchers.length,
          dispatcherCapacity: dispatchers.reduce((sum, { capacity }) => sum + capacity, 0),
          longestWaitMs: Math.max(...running.map((one) => (one.queued / one.capacity) * 1000)),
          lostPerSecond: (lost * 1000) / STEP_MS,
        };
      });
      return samples;
    },
  );
}
