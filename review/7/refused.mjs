// One instance of eight fails a part of its requests for some seconds: it runs the request, then
// answers 429 or 408 without X-Not-Executed. Its health answers are good all the while.
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
  waitFor,
} from '../lib-2/scene.mjs';

const SERVICE = 'visit-desk';
const INSTANCES = 8;
/** From srv_grey in the site file: a share of 0.14 of the instances, 0.45 of the requests, 6.5 s. */
const FAILING_PART = 0.45;
const TROUBLE_MS = 6500;
const CALM_MS = 3000;
const INTERVAL_MS = 50;
/** Statuses that promise that the request has not run and never will. */
const PROMISES = [408, 421, 429, 503];

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ opened, record, hasTrouble }) => {
  let failing;
  let failures = 0;
  const handler = (run, response) => {
    if (run.instance !== failing?.id || Math.random() >= FAILING_PART) return false;
    failures += 1;
    const status = failures % 2 === 0 ? 408 : 429;
    record(`${run.instance} has run ${run.id} and answers ${status}, without X-Not-Executed`);
    failing.answer(run, response, status);
    return true;
  };
  const store = new Store();
  await store.start();
  opened.push(store);
  const instances = [];
  for (let place = 1; place <= INSTANCES; place += 1) {
    const instance = new Instance(`i-${place}`, SERVICE, { workMs: 100, handler });
    await instance.start();
    opened.push(instance);
    instance.register(store);
    instances.push(instance);
  }
  store.put(
    'op/config',
    buildConfiguration(3, [buildRule('retest-book', 'unsafe', '/book/', SERVICE)], [SERVICE]),
  );
  const fleet = new Fleet(store, { count: 2 });
  opened.push(fleet);
  if (!(await fleet.start())) return 'not run';

  const answers = [];
  const sending = [];
  const book = async (booking, gateway) => {
    const id = makeId();
    record(`client sends ${id} for booking ${booking} to ${gateway.name}`);
    const answer = await send({
      address: gateway.address,
      port: fleet.ports.front,
      method: 'POST',
      path: '/book/1',
      id,
      body: `booking ${booking}`,
    });
    record(`client gets ${answer.status} for ${id}`);
    answers.push(answer);
    if (PROMISES.includes(answer.status)) await book(booking, gateway);
  };
  const sendFor = async (ms) => {
    const endAt = Date.now() + ms;
    while (Date.now() < endAt) {
      sending.push(book(sending.length + 1, fleet.gateways[sending.length % 2]));
      await wait(INTERVAL_MS);
    }
  };
  await sendFor(CALM_MS);
  // One that gets requests: with little load not all do.
  if (hasTrouble) [failing] = [...instances].sort((a, b) => b.runs.length - a.runs.length);
  await sendFor(TROUBLE_MS);
  failing = undefined;
  await sendFor(CALM_MS);
  await waitFor(async () => answers.length >= sending.length, 5000);
  await Promise.all(sending);

  const runs = instances.flatMap((instance) => instance.runs);
  const refused = answers.filter(({ status }) => PROMISES.includes(status));
  const untrue = refused.filter(({ id }) => runs.some((run) => run.id === id));
  const perBooking = new Map();
  runs.forEach(({ body }) => perBooking.set(String(body), (perBooking.get(String(body)) ?? 0) + 1));
  const doubled = [...perBooking.values()].filter((count) => count > 1).length;
  untrue.forEach(({ id, status }) => record(`REFUSED broken: ${id} got ${status} and has run`));
  record(`${sending.length} bookings, ${answers.length} requests, ${runs.length} runs`);
  record(
    `${refused.length} refused, ${untrue.length} of them had run; ${doubled} bookings ran twice`,
  );
  if (answers.filter(({ status }) => status === 200).length < sending.length / 2) return 'not run';
  return untrue.length > 0 ? 'broken' : 'held';
});
