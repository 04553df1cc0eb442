/**
 * A key is taken away. More than `revokeS` later the store comes back from a copy that still has the
 * key. The only gateway of a zone is killed and starts again before the operator has written the
 * configuration once more. Requests with the key must not run any more, at no gateway.
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
/** One machine of six is killed, the only one of its zone. */
const PLACES = ['z1', 'z2', 'z3', 'z2', 'z3', 'z3'];
const KILLED_ZONE = 'z1';
const REVOKE_MS = 5000;
/** Age of the copy when the store comes back from it. */
const BEFORE_ACK_MS = 500;
const AWAY_MS = 300;
/** The operator writes again so long after the return. */
const REWRITE_MS = 2000;
/** Time from the return of the store to the kill, and from the kill to the next start. */
const KILL_MS = 200;
const RESTART_MS = 100;
const SEND_INTERVAL_MS = 5;
const SEND_MS = 3000;

const hasTrouble = process.env.TROUBLE !== '0';
const record = new CaseRecord(dirname(fileURLToPath(import.meta.url)));
const store = new Store();
const instances = ZONES.flatMap((zone) =>
  [1, 2].map((n) => new Instance({ id: `i-${zone}-${n}`, service: 'desk', zone })),
);
const fleet = new Fleet({
  places: PLACES,
  storePort: await store.listen(),
  bounds: [
    'strictRevocation=true',
    `revokeS=${REVOKE_MS / 1000}`,
    'quotaWindowS=5',
    'quotaOvershoot=0.25',
    'quotaSlack=20',
  ],
});
let attempts = 0;

function buildVersion(version, southKeys) {
  const routes = [{ prefix: '/read/', kind: 'safe', service: 'desk' }];
  const tenants = [
    { name: 'north', apiKeys: ['key-north'] },
    { name: 'south', apiKeys: southKeys },
  ];
  return buildConfiguration(version, HOST, routes, { tenants });
}

function send({ address }, key) {
  attempts += 1;
  const { front: port } = fleet.ports;
  return sendAttempt({ address, port, host: HOST, path: '/read/1', id: `q-${attempts}`, key });
}

/** Starts everything, and waits until all gateways serve both keys and are in touch. */
async function startAll() {
  await Promise.all(instances.map((one) => one.listen()));
  instances.forEach((one) => store.put(`servers/${one.id}`, buildEntry(one)));
  store.put('op/config', buildVersion(11, ['key-south']));
  await fleet.choosePorts();
  fleet.gateways.forEach((one) => one.start());
  await Promise.all(
    fleet.gateways.map((gateway) =>
      waitUntil(`${gateway.id} serves both keys`, async () => {
        const [north, south] = [await send(gateway, 'key-north'), await send(gateway, 'key-south')];
        return north.status === 200 && south.status === 200;
      }),
    ),
  );
  await wait(4000);
}

async function restart(gateway) {
  gateway.signal('SIGKILL');
  await waitUntil('the process has ended', () => !gateway.isRunning);
  await wait(RESTART_MS);
  gateway.start();
  record.write(`${gateway.id} was killed and starts again`);
}

/** Sends with the removed key to one gateway, as connected clients of the tenant do. */
async function sendAll(gateway) {
  const pending = [];
  const end = performance.now() + SEND_MS;
  while (performance.now() < end) {
    pending.push(send(gateway, 'key-south'));
    await wait(SEND_INTERVAL_MS);
  }
  return Promise.all(pending);
}

async function run() {
  await startAll();
  const killed = fleet.gateways.find(({ zone }) => zone === KILLED_ZONE);
  const copy = store.takeCopy();
  record.write('the copy of the store is taken, with r11');
  await wait(BEFORE_ACK_MS);
  store.put('op/config', buildVersion(12, []));
  const ackAt = performance.now();
  record.write('r12 is acknowledged: it takes the key of tenant south away');
  await wait(REVOKE_MS + 100);
  const old = await Promise.all(fleet.gateways.map((one) => send(one, 'key-south')));
  old.forEach(({ status, error }) =>
    record.write(`removed key before the drill: ${status ?? error}`),
  );
  if (hasTrouble) {
    store.leave();
    record.write('the store is away');
    await wait(AWAY_MS);
    store.restore(copy);
    record.write('the store is back from the copy, in a new era');
    setTimeout(() => {
      store.put('op/config', buildVersion(12, []));
      record.write('the operator has written r12 again');
    }, REWRITE_MS);
    await wait(KILL_MS);
    await restart(killed);
  }
  const results = await sendAll(killed);
  const ran = new Set(instances.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)));
  const late = [...old, ...results].filter(({ sentAt }) => sentAt > ackAt + REVOKE_MS);
  late.forEach(({ id, sentAt, status, error }) => {
    const end = ran.has(id) ? ', and RAN at an instance' : '';
    record.write(
      `${id} sent ${(sentAt - ackAt).toFixed(0)} ms after the ack: ${status ?? error}${end}`,
    );
  });
  const broken = late.filter(({ id }) => ran.has(id));
  const text = `${broken.length} of ${late.length} requests with the removed key ran`;
  record.write(text);
  process.stdout.write(`${text}\n`);
  return broken.length > 0 ? EXIT.broken : EXIT.held;
}

const code = await run().catch((error) => {
  record.write(`could not run: ${error.stack}`);
  return EXIT.couldNotRun;
});
await fleet.close();
store.close();
instances.forEach((one) => one.close());
process.exit(code);
