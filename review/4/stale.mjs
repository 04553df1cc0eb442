/**
 * Two machines of a zone lose power at the same moment, and the operator moves a route right after
 * that. Machines that live on go on running requests at the old service for longer than `configApplyS`.
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

const HOST = 'moved.example';
const SERVICES = ['visit-desk', 'record-vault'];
/** As many as in the first zone of the site. */
const MACHINES = 12;
const LOST = 2;
const DARK_S = 2;
const ROUNDS = 3;
const CONFIG_APPLY_S = 2;
const LOOK_S = 4;
/** Each machine gets a request directly in these intervals. */
const LOOK_INTERVAL_MS = 50;
const CALM_S = 7;

await runCase(import.meta.dirname, async ({ recorder, folder, onEnd }) => {
  const store = new Store();
  await store.listen(getAddress(250));
  onEnd(() => store.close());
  const instances = SERVICES.flatMap((service) =>
    [1, 2, 3].map(
      (at) => new Instance({ id: `i-${service}-${at}`, service, workMs: 20, slots: 12, recorder }),
    ),
  );
  for (const one of instances) {
    await one.listen(getAddress(240));
    onEnd(() => one.exit());
    store.put(`servers/${one.id}`, one.entry);
  }
  let version = 0;
  const publish = (service) => {
    version += 1;
    const rule = { name: 'r-book', prefix: '/book/', kind: 'unsafe', timeoutS: 1.5 };
    const rules = [{ ...rule, service, targetLatencyS: 0.6 }];
    store.put('op/config', buildConfiguration(version, HOST, rules));
    recorder.add(`configuration r${version} is in the store: /book/ goes to ${service}`);
  };
  publish(SERVICES[0]);
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

  /** Sends requests directly to a machine for some seconds; lists those that the old service ran late. */
  const look = async (machine, round, oldService, ackedAt) => {
    const client = new Client({ name: `${machine.name}-r${round}`, machine, host: HOST, recorder });
    const late = [];
    while (getNow() < ackedAt + LOOK_S) {
      const reply = await client.send({
        method: 'POST',
        path: '/book/visit',
        body: Buffer.alloc(100, 98),
        timeLimitMs: 1000,
      });
      const by = instances.find(({ runs }) => runs.some(({ id }) => id === reply.id));
      const sinceAckS = reply.sentAt - ackedAt;
      if (by?.service === oldService && sinceAckS > CONFIG_APPLY_S) late.push(sinceAckS);
      await wait(LOOK_INTERVAL_MS);
    }
    client.close();
    return late;
  };

  /** In order of rank: the longest running first. */
  let ranked = [...machines];
  let total = 0;
  for (let round = 1; round <= ROUNDS; round += 1) {
    const [oldService, newService] = round % 2 === 1 ? SERVICES : [...SERVICES].reverse();
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
    publish(newService);
    const ackedAt = getNow();
    const lates = await Promise.all(
      living.map(async (machine) => look(machine, round, oldService, ackedAt)),
    );
    const rows = lates.flatMap((late, at) =>
      late.length > 0
        ? [`${living[at].name}: ${late.length}, the last ${Math.max(...late).toFixed(2)} s after`]
        : [],
    );
    total += lates.flat().length;
    const line = `round ${round}: requests that ${oldService} ran, sent later than configApplyS after the ack: ${rows.join('; ') || 'none'}`;
    recorder.add(line);
    process.stdout.write(`${line}\n`);
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
