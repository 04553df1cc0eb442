/**
 * A machine is cut off from the store for a few seconds. An instance leaves meanwhile, says so in all
 * its answers, reports it to the store, serves for `drainS` and a little longer, and exits.
 */
import {
  buildConfiguration,
  Client,
  CuttableLink,
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
const DRAIN_S = 2;
/** The cut lasts no longer than the longest core_cut of the site file's list. */
const CUT_S = 5.5;
/** How much longer than drainS the instance serves. */
const LONGER_S = 1.8;
const WORK_MS = 200;
const TIME_LIMIT_MS = 2500;

await runCase(import.meta.dirname, async ({ recorder, folder, onEnd }) => {
  const store = new Store();
  await store.listen(getAddress(250));
  onEnd(() => store.close());
  const link = new CuttableLink(store);
  await link.listen(getAddress(251));
  onEnd(() => link.close());
  const instances = [1, 2, 3].map(
    (at) => new Instance({ id: `i-${at}`, service: SERVICE, workMs: WORK_MS, slots: 3, recorder }),
  );
  for (const one of instances) {
    await one.listen(getAddress(200));
    onEnd(() => one.exit());
    store.put(`servers/${one.id}`, one.entry);
  }
  const rules = [
    { name: 'r-book', prefix: '/book/', kind: 'unsafe', timeoutS: 1.5 },
    { name: 'r-read', prefix: '/read/', kind: 'safe', timeoutS: 2 },
  ].map((rule) => ({ ...rule, service: SERVICE, targetLatencyS: 0.6 }));
  store.put('op/config', buildConfiguration(1, HOST, rules));
  const machine = new Machine({
    name: 'edge-1',
    address: getAddress(1),
    // The others that the seeds name are down.
    seeds: [getAddress(1), getAddress(2), getAddress(3)],
    storeAddress: link.address,
    storePort: link.port,
    folder,
    recorder,
  });
  machine.start();
  onEnd(() => machine.stop());
  await machine.waitUntilReady();

  let isSending = true;
  const replies = [];
  const clients = Array.from({ length: 9 }, (_, at) => {
    const client = new Client({ name: `c${at}`, machine, host: HOST, recorder });
    onEnd(() => client.close());
    return client;
  });
  const loads = clients.map(async (client, at) => {
    await wait(at * 40);
    while (isSending) {
      const isBooking = at % 3 !== 2;
      const reply = await client.send({
        method: isBooking ? 'POST' : 'GET',
        path: isBooking ? '/book/visit' : '/read/due',
        body: isBooking ? Buffer.alloc(400, 98) : undefined,
        timeLimitMs: TIME_LIMIT_MS,
      });
      replies.push({ ...reply, isBooking });
      await wait(20);
    }
  });

  await wait(4000);
  const [leaver] = instances;
  if (HAS_TROUBLE) {
    recorder.add('trouble: the machine is cut off from the store, silently');
    link.cut();
  }
  const cutAt = getNow();
  await wait(300);
  leaver.startLeaving();
  store.put(`servers/${leaver.id}`, leaver.entry);
  recorder.add(
    `instance ${leaver.id} leaves: reported to the store and accepted, Server-Leaving: 1`,
  );
  await wait((DRAIN_S + LONGER_S) * 1000);
  recorder.add(`instance ${leaver.id} exits`);
  leaver.exit();
  store.remove(`servers/${leaver.id}`);
  await wait((cutAt + CUT_S - getNow()) * 1000);
  link.heal();
  recorder.add('the machine reaches the store again');
  await wait(3000);
  isSending = false;
  await Promise.all(loads);

  const passedOnAt = Math.min(
    ...replies
      .filter(
        ({ headers }) => headers?.['server-leaving'] && headers['x-instance-id'] === leaver.id,
      )
      .map(({ endAt }) => endAt),
  );
  const runById = new Map(leaver.runs.map((run) => [run.id, run]));
  const late = replies.filter(({ id, sentAt }) => sentAt > passedOnAt + DRAIN_S && runById.has(id));
  const lost = replies.filter(
    ({ id, isBooking, status }) => isBooking && status !== 200 && runById.get(id)?.wasCut,
  );
  const lostLate = lost.filter((reply) => late.includes(reply));
  const summary = [
    `first answer with Server-Leaving of ${leaver.id} passed on at ${passedOnAt.toFixed(3)}`,
    `requests sent later than drainS after it that reached ${leaver.id}: ${late.length}`,
    `bookings that its exit cut: ${lost.length}, of them sent later than drainS: ${lostLate.length}` +
      ` (statuses ${lostLate.map(({ status }) => status).join(' ')})`,
  ];
  summary.forEach((line) => {
    recorder.add(line);
    process.stdout.write(`${line}\n`);
  });
  if (machine.starts !== 1 || !machine.isRunning)
    throw new Error('the process did not run all the while');
  return late.length > 0;
});
