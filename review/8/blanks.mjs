// One instance of eight is in trouble for some seconds: it answers a part of its requests with bytes
// that are no answer and have no end, until the caller closes. They are a head of lines of blanks.
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

const SERVICE = 'visit-desk';
const INSTANCES = 8;
/** From srv_grey in the site file: a share of 0.14 of the instances, 0.45 of the requests, 6.5 s. */
const FAILING_PART = 0.45;
const TROUBLE_MS = 6500;
const CALM_MS = 4000;
const INTERVAL_MS = 50;
const CLIENT_LIMIT_MS = 5000;
/** `timeoutS` of the route, and half a second. */
const TIMEOUT_MS = 2000;
const BOUND_MS = TIMEOUT_MS + 500;
const MIN_REQUESTS = 8;
const LINE = `${' '.repeat(60_000)}\n`;

function sendWithoutEnd(socket) {
  const sendMore = () => {
    while (socket.writable && socket.write(LINE));
  };
  socket.on('drain', sendMore);
  socket.write('HTTP/1.1 200 OK\r\n');
  sendMore();
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ opened, record, hasTrouble }) => {
  let failing;
  const handler = (run, response) => {
    if (run.instance !== failing?.id || Math.random() >= FAILING_PART) return false;
    record(`${run.instance} answers ${run.id} with lines of blanks without end`);
    sendWithoutEnd(response.socket);
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
    buildConfiguration(3, [buildRule('schedule-read', 'safe', '/due/', SERVICE)], [SERVICE]),
  );
  const fleet = new Fleet(store, { count: 2 });
  opened.push(fleet);
  if (!(await fleet.start())) return 'not run';

  const answers = [];
  const sending = [];
  const read = async (gateway) => {
    const id = makeId();
    const answer = await send({
      address: gateway.address,
      port: fleet.ports.front,
      path: '/due/1',
      id,
      deadlineMs: CLIENT_LIMIT_MS,
    });
    const { status, sentAt, endedAt, reason = '' } = answer;
    record(`${id} to ${gateway.name} ends after ${endedAt - sentAt} ms: ${status} ${reason}`);
    answers.push({ ...answer, gateway: gateway.name });
  };
  const sendFor = async (ms) => {
    const endAt = Date.now() + ms;
    while (Date.now() < endAt) {
      sending.push(read(fleet.gateways[sending.length % 2]));
      await wait(INTERVAL_MS);
    }
  };
  // Also the time for which the machines have to run untroubled to be in touch.
  await sendFor(CALM_MS);
  if (hasTrouble) [failing] = [...instances].sort((a, b) => b.runs.length - a.runs.length);
  await sendFor(TROUBLE_MS);
  failing = undefined;
  record('the trouble of the instance has ended');
  await sendFor(CALM_MS);
  await Promise.all(sending);

  const late = answers.filter(
    ({ status, sentAt, endedAt }) => endedAt - sentAt > TIMEOUT_MS || status === 0,
  );
  const unanswered = late.filter(
    ({ status, sentAt, endedAt }) => status === 0 || endedAt - sentAt > BOUND_MS,
  );
  fleet.gateways.forEach(({ name }) => {
    const own = unanswered.filter(({ gateway }) => gateway === name);
    const first = Math.min(...own.map(({ sentAt }) => sentAt));
    const last = Math.max(...own.map(({ sentAt }) => sentAt));
    if (own.length > 0)
      record(`${name} answered none of ${own.length} requests sent within ${last - first} ms`);
  });
  record(`${answers.length} requests, ${late.length} without an answer after ${TIMEOUT_MS} ms`);
  record(`${unanswered.length} of these without one after ${BOUND_MS} ms`);
  if (answers.filter(({ status }) => status === 200).length < MIN_REQUESTS) return 'not run';
  const isBroken = unanswered.length >= MIN_REQUESTS && unanswered.length > late.length / 2;
  return isBroken ? 'broken' : 'held';
});
