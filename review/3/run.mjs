/* eslint-disable import-x/extensions -- Node.js resolves these modules by their full names. */
/**
 * The operator adds a tenant whose name has a character beyond Latin-1. A request of that
 * tenant is answered 502, and the instance that took it ends by itself when the request's
 * time is over. The requests of all others that it had passed on lose their connections.
 */
import { Agent, request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { startInstance } from '../lib/instance.mjs';
import { runCase } from '../lib/record.mjs';
import { startStore } from '../lib/store.mjs';
import { startUpstream } from '../lib/upstream.mjs';

/** Figures of the deployment hvv-lb-now. */
const SLOTS = 6;
const TIMEOUT_MS = 3000;
const WORK_MS = { stada: 880, boka: 1160 };
const DEADLINE_MS = { stada: 4000, boka: 6000 };
/** From the rule: a machine may cut this many requests of kept connections. */
const MAX_CUT = 3;
/** From the rule: so many ends by themselves, at so many machines, are a fault. */
const FAULT = { ends: 3, machines: 2 };

const NEW_TENANT = { name: 'Húsfélagið Ægir – Reykjavík', key: 'key-aegir' };
const PLAIN_NAME = 'Husfelagid Aegir - Reykjavik';
const TENANTS = ['alda', 'brim', 'drangur'];

const UPSTREAMS = 12;
const WARM_UP_MS = 5000;
const TROUBLE_MS = 36_000;
const SETTLE_MS = 5000;
/** The platform starts a process that has ended again after this time. */
const RESTART_MS = 500;
const BOOKING_INTERVAL_MS = 40;
const NEW_TENANT_INTERVAL_MS = 500;
const HOST = 'jepu9.example';
const PLACES = [
  ['rvk-a', 'reykjavik'],
  ['aey-a', 'akureyri'],
  ['egs-a', 'egilsstadir'],
];

const route = (Name, Service, Kind, Priority) => ({
  Name,
  Host: HOST,
  PathPrefix: `/${Name}/`,
  Kind,
  TimeoutMs: TIMEOUT_MS,
  TargetLatencyMs: 800,
  MaxAttempts: 2,
  Priority,
  Service,
});

const configuration = (version, tenants) => ({
  Version: `r${version}`,
  Routes: [
    route('status', 'stada', 'idempotent', 2),
    route('booking', 'boka', 'non_idempotent', 1),
  ],
  Services: ['stada', 'boka'].map((Name) => ({
    Name,
    HealthPath: '/health',
    MaxConns: 1230,
    ColdStartS: 3,
    ColdPerS: 14,
  })),
  Tenants: tenants.map(({ name, key }) => ({ Name: name, ApiKeys: [key] })),
  Limits: {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 100_000,
    HeaderTimeoutMs: 5000,
    IdleTimeoutMs: 15_000,
  },
});

await runCase(import.meta.dirname, async ({ record, withTrouble, onEnd }) => {
  const store = await startStore();
  onEnd(store.close);
  const tenants = TENANTS.map((name) => ({ name, key: `key-${name}` }));
  store.put('op/config', configuration(12, tenants));
  const ran = new Map();
  for (const service of ['stada', 'boka'])
    for (let i = 0; i < UPSTREAMS; i += 1) {
      const upstream = await startUpstream({
        id: `i-${service}-${i}`,
        service,
        zone: PLACES[i % PLACES.length][0],
        store,
        slots: SLOTS,
        workMs: WORK_MS[service],
        onEvent: (event, run) => {
          ran.set(run.id, run.upstream);
          const what = { runs: 'runs at', answers: 'is answered by', drops: 'is broken off at' };
          record.add(`${run.id} ${what[event]} upstream ${run.upstream}`);
        },
      });
      onEnd(upstream.close);
    }

  const machines = [];
  const stopping = { all: false };
  const watch = async (machine) => {
    for (;;) {
      const { running, options } = machine;
      const { code, signal } = await running.exited;
      if (stopping.all) return;
      machine.ends.push(performance.now());
      record.add(`${options.id} has ended by itself (code ${code}, signal ${signal})`);
      const error = /TypeError: .*/.exec(running.output())?.[0];
      if (error) record.add(`${options.id} wrote: ${error}`);
      await running.stop();
      await sleep(RESTART_MS);
      if (stopping.all) return;
      const starting = startInstance({ ...options, ports: running.ports });
      Object.assign(machine, { starting });
      Object.assign(machine, { running: await starting });
      record.add(`${options.id} is ready again`);
    }
  };
  for (const [zone, region] of PLACES) {
    const options = { id: `front-${zone}-1`, store, zone, region };
    const machine = { options, running: await startInstance(options), ends: [], cut: [] };
    machines.push(machine);
    onEnd(async () => {
      await machine.starting?.catch(() => {});
      await machine.running.stop();
    });
  }
  onEnd(() => Object.assign(stopping, { all: true }));
  machines.forEach((machine) => {
    watch(machine).catch((error) => record.add(`restart failed: ${error.message}`));
  });
  const agents = machines.map(() => new Agent({ keepAlive: true }));
  onEnd(() => agents.forEach((agent) => agent.destroy()));
  await sleep(1000);

  let count = 0;
  const send = ({ service, path, key, at }) => {
    const machine = machines[at];
    count += 1;
    const id = `${path}-${count}`;
    const [host, port] = machine.running.callers.split(':');
    record.add(`${id} sent to ${machine.options.id}`);
    const end = (outcome) => record.add(`${id} ${outcome}`);
    const req = httpRequest(
      {
        host,
        port,
        method: service === 'boka' ? 'POST' : 'GET',
        path: `/${path}/${count}`,
        agent: agents[at],
        headers: {
          host: HOST,
          authorization: `Token ${key}`,
          'x-request-id': id,
          'x-affinity-key': `${count % 40}`,
          'x-request-deadline-ms': DEADLINE_MS[service],
          ...(service === 'boka' ? { 'content-length': 0 } : {}),
        },
      },
      (res) => {
        res.resume();
        res.on('error', () => end('connection ended within the answer'));
        res.on('end', () => end(`answered ${res.statusCode}`));
      },
    );
    req.on('error', (error) => {
      const isKept = req.reusedSocket;
      end(
        `connection ended without an answer (${error.code}, ${isKept ? 'kept' : 'new'} connection)`,
      );
      if (isKept && ran.has(id)) machine.cut.push(id);
    });
    req.end();
  };
  const timers = [];
  timers.push(
    setInterval(() => {
      const at = count % machines.length;
      const { key } = tenants[count % tenants.length];
      send({ service: 'boka', path: 'booking', key, at });
    }, BOOKING_INTERVAL_MS),
  );
  await sleep(WARM_UP_MS);
  const name = withTrouble ? NEW_TENANT.name : PLAIN_NAME;
  store.put('op/config', configuration(17, [...tenants, { name, key: NEW_TENANT.key }]));
  record.add(`configuration r17 adds the tenant ${name}`);
  await sleep(1000);
  let lookups = 0;
  timers.push(
    setInterval(() => {
      lookups += 1;
      const at = lookups % machines.length;
      send({ service: 'stada', path: 'status', key: NEW_TENANT.key, at });
    }, NEW_TENANT_INTERVAL_MS),
  );
  await sleep(TROUBLE_MS);
  timers.forEach((timer) => clearInterval(timer));
  await sleep(SETTLE_MS);
  Object.assign(stopping, { all: true });

  const broken = machines
    .filter(({ cut }) => cut.length > MAX_CUT)
    .map(
      ({ options, cut }) =>
        `LOST: ${options.id} closed the connections of ${cut.length} requests that it had passed on, such as ${cut.slice(0, 3).join(', ')}`,
    );
  const faulty = machines.filter(({ ends }) => ends.length >= FAULT.ends);
  if (faulty.length >= FAULT.machines)
    broken.push(
      `Fault: processes ended by themselves ${faulty.map(({ options, ends }) => `${ends.length} times at ${options.id}`).join(', ')}`,
    );
  return broken;
});
