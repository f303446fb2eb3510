/* eslint-disable import-x/extensions -- Node.js resolves these modules by their full names. */
/**
 * A rolling restart of a deployment with a grace period of 10 s, as of hvv-lb-large.
 * Callers that keep a directory response for three times its TTL still send bookings
 * to an instance 3 to 5 s after its SIGTERM. It accepts them, passes them on, and ends
 * 8.8 s after the SIGTERM, while targets still work on them.
 */
import { Agent, request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { startInstance } from '../lib/instance.mjs';
import { runCase } from '../lib/record.mjs';
import { startStore } from '../lib/store.mjs';
import { startUpstream } from '../lib/upstream.mjs';

/** Bounds and figures of the deployment hvv-lb-large. */
const GRACE_MS = 10_000;
const TIMEOUT_MS = 10_000;
const DEADLINE_MS = 20_000;
const WORK_MS = { mean: 4176, spread: 0.15 };
const SLOTS = 9;
const TTL_MAX_S = 5;
/** From the rule: requests sent later than this after a SIGTERM have no excuse at the end of the grace period. */
const EXCUSED_UNTIL_MS = 3000;
/** From the rule: a SIGTERM counts as planned work until this long after the grace period. */
const SLACK_AFTER_GRACE_MS = 1000;
const LAST_SIXTH_FROM_MS = (GRACE_MS * 5) / 6;

const ZONES = [
  { zone: 'rvk-a', region: 'reykjavik' },
  { zone: 'aey-a', region: 'akureyri' },
  { zone: 'egs-a', region: 'egilsstadir' },
];
const UPSTREAMS = 48;
const CLIENTS = 150;
/** One client in 25 keeps directory responses for three times their TTL (`patient = 0.04` in the site file). */
const PATIENT_EVERY = 25;
const PATIENT_FACTOR = 3;
/** Clients differ in how much they send; those that keep responses for long are busy ones. */
const SEND_INTERVAL_MS = { patient: 200, others: 3300 };
const WARM_UP_MS = 8000;
/** Pause between the restart of an instance and the stop of the next one. */
const GAP_MS = 1000;
const ROLLS = 2;
const SETTLE_MS = 12_000;
const HOST = 'jepu9.example';

const configuration = {
  Version: 'r12',
  Routes: [
    {
      Name: 'booking',
      Host: HOST,
      PathPrefix: '/booking/',
      Kind: 'non_idempotent',
      TimeoutMs: TIMEOUT_MS,
      TargetLatencyMs: 2000,
      MaxAttempts: 2,
      Priority: 1,
      Service: 'boka',
    },
  ],
  Services: [{ Name: 'boka', HealthPath: '/health', MaxConns: 3600, ColdStartS: 3, ColdPerS: 14 }],
  Limits: {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 100_000,
    HeaderTimeoutMs: 5000,
    IdleTimeoutMs: 15_000,
  },
};

/** A roughly normal factor around 1. */
const spreadFactor = (spread) => {
  const sum = Math.random() + Math.random() + Math.random() + Math.random() - 2;
  return 1 + sum * Math.sqrt(3) * spread;
};

const getJson = (address, path) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const req = httpRequest({ host, port, path, agent: false, timeout: 1000 }, (res) => {
      const chunks = [];
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('error', () => resolve(undefined));
      res.on('end', () => {
        const isOk = res.statusCode === 200 && res.complete;
        resolve(isOk ? JSON.parse(Buffer.concat(chunks).toString('utf8')) : undefined);
      });
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(undefined));
    req.end();
  });

/** A caller: asks the directory where to connect, keeps connections open and sends bookings. */
const startClient = ({ name, home, directories, isPatient, requests, record }) => {
  const agents = new Map();
  const known = { addresses: [], until: 0 };
  let count = 0;
  const take = ({ Addresses: addresses, TtlS }) => {
    const ttlMs = Math.min(TtlS, TTL_MAX_S) * 1000 * (isPatient ? PATIENT_FACTOR : 1);
    Object.assign(known, { addresses, until: performance.now() + ttlMs });
    // Open connections to other addresses are not used again.
    agents.forEach((agent, address) => {
      if (addresses.includes(address)) return;
      Object.assign(agent, { keepAlive: false });
      agents.delete(address);
    });
  };
  const resolveAddresses = async () => {
    for (const directory of directories()) {
      const path = `/v1/resolve?Name=${HOST}&Region=${home.region}&Zone=${home.zone}`;
      const answer = await getJson(directory, path);
      if (answer?.Addresses?.length > 0) {
        take(answer);
        return;
      }
    }
  };
  const exclude = (address) =>
    Object.assign(known, { addresses: known.addresses.filter((each) => each !== address) });
  const send = async () => {
    if (performance.now() >= known.until) await resolveAddresses();
    if (known.addresses.length === 0) return;
    const address = known.addresses[Math.floor(Math.random() * known.addresses.length)];
    if (!agents.has(address)) agents.set(address, new Agent({ keepAlive: true }));
    count += 1;
    const request = { id: `${name}-${count}`, address, sentAt: performance.now(), outcome: 'open' };
    requests.push(request);
    record.add(`${request.id} booking sent to ${address}`, request.sentAt);
    const end = (outcome) => {
      if (request.outcome !== 'open') return;
      Object.assign(request, { outcome, endedAt: performance.now() });
      record.add(`${request.id} ${outcome}`, request.endedAt);
    };
    const [host, port] = address.split(':');
    const req = httpRequest(
      {
        host,
        port,
        method: 'POST',
        path: `/booking/${count}`,
        agent: agents.get(address),
        headers: {
          host: HOST,
          'x-request-id': request.id,
          'x-affinity-key': `${name}-${count % 7}`,
          'x-request-deadline-ms': DEADLINE_MS,
          'content-length': 4,
        },
      },
      (res) => {
        res.resume();
        res.on('error', () => end('connection ended within the answer'));
        res.on('end', () => end(`answered ${res.statusCode}`));
      },
    );
    const timer = setTimeout(() => req.destroy(), DEADLINE_MS);
    req.on('close', () => clearTimeout(timer));
    req.on('error', (error) => {
      exclude(address);
      end(`connection ended without an answer (${error.code})`);
    });
    req.end('book');
  };
  const intervalMs = isPatient ? SEND_INTERVAL_MS.patient : SEND_INTERVAL_MS.others;
  const timers = [];
  timers.push(
    setTimeout(() => {
      timers.push(setInterval(() => send().catch(() => {}), intervalMs));
    }, Math.random() * intervalMs),
  );
  return {
    stop: () => timers.forEach((timer) => clearInterval(timer)),
    close: () => agents.forEach((agent) => agent.destroy()),
  };
};

/** Why a booking that was cut after it had been passed on is not counted; undefined if it is. */
const excuseOf = (request, run, stop) => {
  if (request.endedAt - request.sentAt >= TIMEOUT_MS) return 'the timeout of the route was reached';
  const wasAtWork = run.endedAt - stop.at >= LAST_SIXTH_FROM_MS;
  const wasSentEarly = request.sentAt - stop.at <= EXCUSED_UNTIL_MS;
  return wasAtWork && wasSentEarly ? 'sent no later than 3 s after the SIGTERM' : undefined;
};

await runCase(import.meta.dirname, async ({ record, withTrouble, onEnd }) => {
  const store = await startStore();
  onEnd(store.close);
  store.put('op/config', configuration);
  const runs = new Map();
  for (let i = 0; i < UPSTREAMS; i += 1) {
    const { zone } = ZONES[i % ZONES.length];
    const upstream = await startUpstream({
      id: `i-${i}`,
      service: 'boka',
      zone,
      store,
      slots: SLOTS,
      answer: () => ({ workMs: WORK_MS.mean * spreadFactor(WORK_MS.spread) }),
      onEvent: (event, run) => {
        runs.set(run.id, run);
        const what = {
          runs: 'runs',
          answers: 'has run and is answered by',
          drops: 'is broken off at',
        };
        record.add(`${run.id} ${what[event]} upstream ${run.upstream}`);
      },
    });
    onEnd(upstream.close);
  }
  const instances = [];
  for (const [i, place] of ZONES.entries()) {
    const options = { id: `front-${place.zone}-1`, store, graceS: GRACE_MS / 1000, ...place };
    instances.push({ options, running: await startInstance(options) });
    onEnd(() => instances[i].running.stop());
  }
  const requests = [];
  const clients = Array.from({ length: CLIENTS }, (_, i) =>
    startClient({
      name: `c${i}`,
      home: ZONES[i % ZONES.length],
      directories: () =>
        [0, 1, 2].map((k) => instances[(i + k) % instances.length].running.directory),
      isPatient: i % PATIENT_EVERY === 0,
      requests,
      record,
    }),
  );
  onEnd(() => clients.forEach(({ close }) => close()));
  await sleep(WARM_UP_MS);

  const stops = [];
  for (const instance of Array.from({ length: ROLLS }, () => instances).flat()) {
    const { running, options } = instance;
    if (withTrouble) {
      const stop = { at: performance.now(), address: running.callers };
      stops.push(stop);
      record.add(`SIGTERM to ${running.id} (${running.callers})`);
      running.child.kill('SIGTERM');
      const killed = setTimeout(() => running.child.kill('SIGKILL'), GRACE_MS);
      const { code, at } = await running.exited;
      clearTimeout(killed);
      await running.stop();
      record.add(
        `${running.id} ended with ${code}, ${Math.round(at - stop.at)} ms after its SIGTERM`,
      );
      instance.running = await startInstance({ ...options, ports: running.ports });
      record.add(`${running.id} is ready again`);
      await sleep(GAP_MS);
    } else await sleep(GRACE_MS);
  }
  clients.forEach(({ stop }) => stop());
  await sleep(SETTLE_MS);

  const cut = requests.filter(({ outcome }) => outcome.startsWith('connection ended'));
  return cut.flatMap((request) => {
    const run = runs.get(request.id);
    const stop = stops.find(
      ({ at, address }) =>
        address === request.address &&
        request.endedAt >= at &&
        request.endedAt <= at + GRACE_MS + SLACK_AFTER_GRACE_MS,
    );
    // Without a run the booking was not passed on: its connection was refused or crossed the close.
    if (!run || !stop) return [];
    const after = (at) => `${Math.round(at - stop.at)} ms`;
    const text = `${request.id}: sent ${after(request.sentAt)}, passed on to upstream ${run.upstream} ${after(run.startedAt)} and cut ${after(request.endedAt)} after the SIGTERM`;
    const excuse = excuseOf(request, run, stop);
    if (!excuse) return [text];
    record.add(`not counted: ${text}: ${excuse}`);
    return [];
  });
});
