/**
 * Two machines of a zone lose power at the same moment, and an instance leaves right after that.
 * Machines that live on send it bookings later than `drainS` after the store has accepted its report;
 * its exit cuts some of them.
 */
import {
  buildConfiguration,
  Client,
  getAddress,
  getNow,
  HAS_TROUBLE,
  Instance,
  Machine,
  runCase,
  Store,
  wait,
} from '../lib/platform.mjs';

const HOST = 'leaving.example';
const SERVICE = 'visit-desk';
/** As many as in the first zone of the site. */
const MACHINES = 12;
const LOST = 2;
const DARK_S = 2;
const ROUNDS = 3;
const DRAIN_S = 2;
/** How much longer than drainS the instance serves. */
const LONGER_S = 0.3;
const WORK_MS = 200;
const LOOK_S = 3;
const CLIENTS_PER_MACHINE = 3;
/** Each machine gets a request directly in these intervals. */
const LOOK_INTERVAL_MS = 50;
const CALM_S = 7;

await runCase(import.meta.dirname, async ({ recorder, folder, onEnd }) => {
  const store = new Store();
  await store.listen(getAddress(250));
  onEnd(() => store.close());
  let count = 0;
  const addInstance = async () => {
    count += 1;
    const one = new Instance({
      id: `i-${count}`,
      service: SERVICE,
      workMs: WORK_MS,
      slots: 12,
      recorder,
    });
    await one.listen(getAddress(240));
    onEnd(() => one.exit());
    store.put(`servers/${one.id}`, one.entry);
    return one;
  };
  let instances = [await addInstance(), await addInstance(), await addInstance()];
  const rule = { name: 'r-book', prefix: '/book/', kind: 'unsafe', timeoutS: 1.5 };
  const rules = [{ ...rule, service: SERVICE, targetLatencyS: 0.6 }];
  store.put('op/config', buildConfiguration(1, HOST, rules));
  const addresses = Array.from({ length: MACHINES }, (_, at) => getAddress(at + 1));
  const machines = addresses.map(
    (address, at) =>
      new Machine({
        name: `edge-${String(at + 1).padStart(2, '0')}`,
        address,
        seeds: addresses.slice(0, 3),
        storeAddress: store.address,
        storePort: store.port,
        folder,
        recorder,
      }),
  );
  machines.forEach((machine) => onEnd(() => machine.stop()));
  // Started within one step of the rank, they are ranked by name.
  await wait(2000 - (Date.now() % 2000) + 20);
  machines.forEach((machine) => machine.start());
  for (const machine of machines) await machine.waitUntilReady();
  await wait(CALM_S * 1000);

  /** Sends requests directly to a machine for some seconds; lists what became of them. */
  const look = async (machine, at, round, ackedAt) => {
    const name = `${machine.name}-c${at}-r${round}`;
    const client = new Client({ name, machine, host: HOST, recorder });
    await wait(at * 80);
    const replies = [];
    while (getNow() < ackedAt + LOOK_S) {
      const attempt = { method: 'POST', path: '/book/visit', body: Buffer.alloc(100, 98) };
      replies.push({ machine, ...(await client.send({ ...attempt, timeLimitMs: 2500 })) });
      await wait(LOOK_INTERVAL_MS);
    }
    client.close();
    return replies;
  };

  /** In order of rank: the longest running first. */
  let ranked = [...machines];
  let total = 0;
  for (let round = 1; round <= ROUNDS; round += 1) {
    const lost = ranked.slice(0, LOST);
    const living = ranked.slice(LOST);
    const starts = living.map((machine) => machine.starts);
    if (HAS_TROUBLE) {
      recorder.add(`trouble: ${lost.map(({ name }) => name).join(' and ')} lose power`);
      lost.forEach((machine) => {
        machine.signal('SIGKILL');
        setTimeout(() => machine.start(), DARK_S * 1000);
      });
    }
    await wait(60);
    const [leaver, ...staying] = instances;
    leaver.startLeaving();
    store.put(`servers/${leaver.id}`, leaver.entry);
    const ackedAt = getNow();
    recorder.add(`instance ${leaver.id} leaves: reported to the store and accepted`);
    setTimeout(
      () => {
        recorder.add(`instance ${leaver.id} exits`);
        leaver.exit();
        store.remove(`servers/${leaver.id}`);
      },
      (DRAIN_S + LONGER_S) * 1000,
    );
    const replies = (
      await Promise.all(
        living.flatMap((machine) =>
          Array.from({ length: CLIENTS_PER_MACHINE }, async (_, at) =>
            look(machine, at, round, ackedAt),
          ),
        ),
      )
    ).flat();
    const runs = new Map(leaver.runs.map((run) => [run.id, run]));
    const late = replies.filter(({ id }) => runs.get(id)?.at > ackedAt + DRAIN_S);
    const cut = late.filter(({ id, status }) => runs.get(id).wasCut && status !== 200);
    const by = [...new Set(late.map(({ machine }) => machine.name))].sort().join(' ');
    const lastS = Math.max(...late.map(({ id }) => runs.get(id).at - ackedAt));
    total += late.length;
    const line =
      `round ${round}: bookings that reached ${leaver.id} later than drainS after the ack: ` +
      (late.length > 0
        ? `${late.length} by ${by}, the last ${lastS.toFixed(2)} s after; lost by its exit: ${cut.length} (statuses ${cut.map(({ status }) => status).join(' ')})`
        : 'none');
    recorder.add(line);
    process.stdout.write(`${line}\n`);
    instances = [...staying, await addInstance()];
    if (living.some((machine, at) => machine.starts !== starts[at] || !machine.isRunning)) {
      throw new Error('a machine that should live on has ended');
    }
    if (HAS_TROUBLE) {
      for (const machine of lost) await machine.waitUntilReady();
      ranked = [...living, ...lost];
    }
    if (round < ROUNDS) await wait(CALM_S * 1000);
  }
  return total > 0;
});
