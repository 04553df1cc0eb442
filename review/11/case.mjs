/**
 * The store cuts the watches that wait, as it may at any time. 50 ms later an instance leaves: its entry
 * is removed, and it serves on for a little more than `drainS`. No booking may reach it later than that.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { sendAttempt } from '../lib-3/client.mjs';
import { CaseRecord, Fleet, wait, waitUntil } from '../lib-3/fleet.mjs';
import { Instance } from '../lib-3/instance.mjs';
import { buildConfiguration, buildEntry, Store } from '../lib-3/store.mjs';

const EXIT = { held: 0, broken: 1, couldNotRun: 2 };
const HOST = 'shop.example';
const ZONES = ['z1', 'z2', 'z3'];
/** One gateway in each zone. */
const PLACES = ZONES;
const DRAIN_MS = 2000;
/** Time from the cut of the watches to the removal of the entry. */
const REMOVE_MS = 50;
/** The instance serves on for this long after its entry was removed, and then exits. */
const SERVE_MS = 2200;
const ROUNDS = 4;
const ROUND_MS = 7000;
const WORK_MS = 150;
const SEND_INTERVAL_MS = 10;

const hasTrouble = process.env.TROUBLE !== '0';
const record = new CaseRecord(dirname(fileURLToPath(import.meta.url)));
const store = new Store();
const fleet = new Fleet({ places: PLACES, storePort: await store.listen() });
const instances = [];
const results = [];
let attempts = 0;
let isRunning = true;

async function addInstance(zone) {
  const id = `i-${instances.length + 1}`;
  const one = new Instance({ id, service: 'desk', zone, workMs: WORK_MS });
  instances.push(one);
  await one.listen();
  store.put(`servers/${id}`, buildEntry(one));
  return one;
}

async function send({ address, id: gateway }) {
  attempts += 1;
  const id = `q-${attempts}`;
  const { front: port } = fleet.ports;
  const body = 'a booking';
  const attempt = { address, port, host: HOST, path: '/book/1', method: 'POST', id, body };
  const result = await sendAttempt({ ...attempt, timeLimitMs: 2500 });
  results.push({ ...result, gateway });
  return result;
}

async function sendAll(gateway) {
  while (isRunning) {
    send(gateway);
    await wait(SEND_INTERVAL_MS * PLACES.length);
  }
}

/** One instance leaves; returns when its entry was removed, and when it exits. */
async function runRound(leaver) {
  if (hasTrouble) {
    store.cutWatches();
    record.write('the store cuts the watches that wait');
  }
  await wait(REMOVE_MS);
  store.remove(`servers/${leaver.id}`);
  const removedAt = performance.now();
  record.write(`${leaver.id}: its entry is removed, acknowledged by the store`);
  await wait(SERVE_MS);
  leaver.close();
  record.write(`${leaver.id} exits`);
  return { leaver, removedAt };
}

async function run() {
  await Promise.all(ZONES.flatMap((zone) => [zone, zone, zone]).map(addInstance));
  store.put(
    'op/config',
    buildConfiguration(3, HOST, [{ prefix: '/book/', kind: 'unsafe', service: 'desk' }]),
  );
  await fleet.choosePorts();
  fleet.gateways.forEach((one) => one.start());
  await Promise.all(
    fleet.gateways.map((gateway) =>
      waitUntil(`${gateway.id} serves`, async () => (await send(gateway)).status === 200),
    ),
  );
  const senders = fleet.gateways.map((gateway) => sendAll(gateway));
  await wait(4000);
  const rounds = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const startedAt = performance.now();
    rounds.push(await runRound(instances[round * 2]));
    await addInstance(instances[round * 2].zone);
    await wait(startedAt + ROUND_MS - performance.now());
  }
  isRunning = false;
  await Promise.all(senders);
  await wait(2600);
  const byId = new Map(results.map((one) => [one.id, one]));
  const late = rounds.flatMap(({ leaver, removedAt }) =>
    leaver.runs
      .filter(({ at }) => at > removedAt + DRAIN_MS)
      .map(({ requestId, at }) => ({
        ...byId.get(requestId),
        leaver: leaver.id,
        lateMs: at - removedAt,
      })),
  );
  late.forEach(({ id, gateway, leaver, lateMs, status, error }) =>
    record.write(
      `${id} by ${gateway} reaches ${leaver} ${lateMs.toFixed(0)} ms after its removal; its client gets ${status ?? error}`,
    ),
  );
  const lost = late.filter(({ status }) => status !== 200);
  const text = `${late.length} bookings reached a leaving instance late, ${lost.length} of them were lost`;
  record.write(`${attempts} bookings sent`);
  record.write(text);
  process.stdout.write(`${text}\n`);
  return late.length > 0 ? EXIT.broken : EXIT.held;
}

const code = await run().catch((error) => {
  record.write(`could not run: ${error.stack}`);
  return EXIT.couldNotRun;
});
await fleet.close();
store.close();
instances.forEach((one) => one.close());
process.exit(code);
