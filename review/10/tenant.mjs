// The operator adds a tenant and takes a key away from another one, in one configuration. The name of
// the new tenant has a blank.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import {
  buildConfiguration,
  buildRule,
  Fleet,
  Instance,
  makeId,
  runCase,
  send,
  Store,
  wait,
} from '../lib-2/scene.mjs';

const SERVICE = 'klimastyring';
const INSTANCES = 6;
const REVOKE_MS = 5000;
const APPLY_MS = 2500;
const INTERVAL_MS = 50;
const BOUNDS =
  'strictRevocation=true,revokeS=5,quotaWindowS=5,quotaOvershoot=0.25,quotaSlack=20,configApplyS=2.5';
const KEYS = {
  kept: '8wuakn2ftimaj3nr26tt',
  revoked: 'a828m82thhkmgjqnirth',
  new: 'k1p0w7zz4r9d2m5x8c3v',
};

const RULES = [buildRule('setpunkt', 'unsafe', '/set/', SERVICE)];
const buildTenant = (name, apiKeys) => ({ name, apiKeys, priority: 1, ratePerS: 300, burst: 300 });
const buildVersion = (version, tenants) =>
  buildConfiguration(version, RULES, [SERVICE], { tenants });

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ opened, record, hasTrouble }) => {
  const store = new Store();
  await store.start();
  opened.push(store);
  const instances = [];
  for (let place = 1; place <= INSTANCES; place += 1) {
    const instance = new Instance(`i-${place}`, SERVICE);
    await instance.start();
    opened.push(instance);
    instance.register(store);
    instances.push(instance);
  }
  store.put('op/config', buildVersion(10, [buildTenant('kaje80', [KEYS.kept, KEYS.revoked])]));
  const fleet = new Fleet(store, { count: 3, bounds: BOUNDS });
  opened.push(fleet);
  if (!(await fleet.start())) return 'not run';

  const answers = [];
  const sending = [];
  const order = async (key, gateway) => {
    const id = makeId();
    const answer = await send({
      address: gateway.address,
      port: fleet.ports.front,
      method: 'POST',
      path: '/set/1',
      id,
      body: 'setpoint',
      headers: { Authorization: `Bearer ${KEYS[key]}` },
    });
    const run = instances.flatMap(({ runs }) => runs).find((one) => one.id === id);
    record(
      `${id}, ${key} key, ${gateway.name}: ${answer.status}${run ? `, ran for ${run.tenant}` : ''}`,
    );
    answers.push({ ...answer, key, hasRun: run !== undefined });
  };
  const sendFor = async (ms, keys) => {
    const endAt = Date.now() + ms;
    while (Date.now() < endAt) {
      const gateway = fleet.gateways[sending.length % 3];
      sending.push(order(keys[sending.length % keys.length], gateway));
      await wait(INTERVAL_MS);
    }
  };
  await sendFor(4000, ['kept', 'revoked']);
  const name = hasTrouble ? 'Fyns Gartneri' : 'fyns-gartneri';
  store.put(
    'op/config',
    buildVersion(11, [buildTenant('kaje80', [KEYS.kept]), buildTenant(name, [KEYS.new])]),
  );
  const changedAt = Date.now();
  record(`the store acknowledges r11: a key taken away, a new tenant "${name}"`);
  await sendFor(10_000, ['kept', 'revoked', 'new', 'kept']);
  await Promise.all(sending);

  const list = (key, ms) => answers.filter((one) => one.key === key && one.sentAt > changedAt + ms);
  const revoked = list('revoked', REVOKE_MS);
  const wrong = revoked.filter(({ hasRun }) => hasRun);
  const added = list('new', APPLY_MS);
  const denied = added.filter(({ status }) => status === 401);
  record(
    `${revoked.length} requests with the revoked key later than revokeS, ${wrong.length} have run`,
  );
  record(`${added.length} with the new key later than configApplyS, ${denied.length} got 401`);
  const isServed = answers.some(({ key, status }) => key === 'kept' && status === 200);
  if (revoked.length === 0 || !isServed) return 'not run';
  return wrong.length > 0 ? 'broken' : 'held';
});
