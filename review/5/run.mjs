/* eslint-disable import-x/extensions -- Node.js needs the extension of a module that isn't built */
/**
 * Bookings on kept connections, while some upstreams answer a few of them with a body without end,
 * in chunks of one byte.
 */
import { answerHeaders, answerWhole, startUpstream } from '../lib-2/upstream.mjs';
import { HOST, TROUBLE, configuration, noteTraffic, route, runCase } from '../lib-2/case.mjs';
import { openConnection, send } from '../lib-2/client.mjs';
import { resolveZone, sleep, startInstances } from '../lib-2/instance.mjs';
import { startStore } from '../lib-2/store.mjs';

const ZONES = ['hamilton-a', 'christchurch-a'];
/** Upstreams that send bodies without end, of five, and every how many of their answers: 2/5 and 1/20. */
const FAULTY_UPSTREAMS = 2;
const ENDLESS_EVERY = 20;
const FAULT_MS = 5000;
const AFTER_MS = 12_000;
const CLIENTS = 60;
/** Between the starts of two clients, so that their requests are spread evenly. */
const STAGGER_MS = 23;
const WORK_MS = 800;
const CALM_MS = 4000;
/** The route's timeout, and the deadline that clients send. */
const TIMEOUT_MS = 10_000;
const CHUNKS_PER_WRITE = 4000;
const CHUNKS = '1\r\nx\r\n'.repeat(CHUNKS_PER_WRITE);
/** LOST allows three. */
const ALLOWED_LOST = 3;

/** Writes chunks for as long as the connection is open. */
const writeWithoutEnd = (socket) => {
  const writeMore = () => {
    while (!socket.destroyed && socket.write(CHUNKS));
  };
  socket.on('drain', writeMore);
  writeMore();
};

await runCase(import.meta.dirname, async (note, closing) => {
  const store = await startStore();
  closing.push(store.close);
  let isFaulty = false;
  let endless = 0;
  const isFaultyUpstream = (number) => TROUBLE && number < FAULTY_UPSTREAMS;
  const answer = (number) => {
    let count = 0;
    return (upstream, req, res, run) => {
      count += isFaulty ? 1 : 0;
      if (!isFaulty || !isFaultyUpstream(number) || count % ENDLESS_EVERY !== 0) {
        answerWhole(upstream, req, res, Buffer.from(`booked ${run.id}`));
        return;
      }
      endless += 1;
      const headers = Object.entries(answerHeaders(upstream, req));
      const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`).join('');
      req.socket.write(`HTTP/1.1 200 OK\r\n${lines}Transfer-Encoding: chunked\r\n\r\n`);
      writeWithoutEnd(req.socket);
    };
  };
  const upstreams = await Promise.all(
    Array.from({ length: 5 }, (_, i) =>
      startUpstream(store, {
        id: `i-gatebook-${i + 1}`,
        service: 'gatebook',
        zone: ZONES[i % 2],
        slots: 16,
        queue: 16,
        workMs: WORK_MS,
        answer: answer(i),
      }),
    ),
  );
  closing.push(() => upstreams.forEach((upstream) => upstream.close()));
  const routes = [route('signin', 'non_idempotent', 'gatebook', { TimeoutMs: TIMEOUT_MS })];
  store.put('op/config', configuration(routes, ['gatebook']));
  const instances = await startInstances(store, ZONES, closing);
  note(`ready: ${instances.map(({ id }) => id).join(', ')}`);

  const until = performance.now() + CALM_MS + FAULT_MS + AFTER_MS;
  const answers = [];
  const client = async (number) => {
    await sleep(number * STAGGER_MS);
    const instance = instances[number % 2];
    const [address] = await resolveZone(instance, HOST, instance.zone);
    let connection = openConnection(address);
    for (let i = 0; performance.now() < until && !instance.exit; i += 1) {
      if (!connection.isOpen()) connection = openConnection(address);
      const id = `book-${number}-${i}`;
      const request = {
        method: 'POST',
        path: `/signin/${id}`,
        host: HOST,
        id,
        deadlineMs: TIMEOUT_MS,
      };
      answers.push(await send(connection, request, Buffer.from('booking')));
    }
    connection.close();
  };
  const clients = Promise.all(Array.from({ length: CLIENTS }, (_, i) => client(i)));
  await sleep(CALM_MS);
  isFaulty = true;
  const faultyAt = performance.now();
  note(
    `for ${FAULT_MS} ms: ${TROUBLE ? `one answer in ${ENDLESS_EVERY} of upstreams 1 and 2 has no end` : 'calm'}`,
  );
  await Promise.race([sleep(FAULT_MS), clients]);
  isFaulty = false;
  await clients;

  const runs = upstreams.flatMap((upstream) => upstream.runs);
  noteTraffic(note, answers, runs);
  const runOf = new Map(runs.map((run) => [run.id, run]));
  const soundIds = new Set(upstreams.filter((_, i) => !isFaultyUpstream(i)).map(({ id }) => id));
  const count = (status) => answers.filter((each) => each.status === status).length;
  note(
    `sent ${answers.length}: ${count(200)} with 200, ${count(502)} with 502, ${count(503)} with 503, ${count(504)} with 504, ${count(0)} without an answer; bodies without end ${endless}`,
  );
  instances.forEach(({ id, exit, output }) => {
    if (!exit) return;
    note(
      `${id} ended by itself ${Math.round(exit.at - faultyAt)} ms after the fault began: code ${exit.code}, signal ${exit.signal}`,
    );
    output()
      .split('\n')
      .filter((line) => line.includes('FATAL'))
      .forEach((line) => note(line));
  });
  const lost = answers.filter(
    ({ id, status }) => status === 0 && soundIds.has(runOf.get(id)?.upstream),
  );
  note(`lost at sound upstreams: ${lost.length}`);
  return lost.length > ALLOWED_LOST
    ? [
        `LOST: ${lost.length} bookings were passed on to upstreams 3 to 5, which are sound, and their kept connections closed without an answer`,
      ]
    : [];
});
