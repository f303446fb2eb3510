/** Starts instances with the command of the deploy file, and ends them. */
import { spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

const ROOT = resolve(import.meta.dirname, '../..');
const READY_WITHIN_MS = 15_000;
const POLL_MS = 100;

/** The zones of the deployment, and their regions. */
export const ZONES = {
  'hamilton-a': 'waikato',
  'christchurch-a': 'canterbury',
  'dunedin-a': 'otago',
};

export const sleep = (ms) =>
  new Promise((done) => {
    setTimeout(done, ms);
  });

const freePorts = async (count) => {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((done) => {
          const server = createServer().listen(0, '127.0.0.1', () => done(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((done) => {
          server.close(done);
        }),
    ),
  );
  return ports;
};

/** Status of a GET, or 0 without an answer. */
export const get = (address, path) =>
  new Promise((done) => {
    const [host, port] = address.split(':');
    const req = request({ host, port, path, agent: false, timeout: 1000 }, (res) => {
      let text = '';
      res.on('data', (part) => {
        text += part;
      });
      res.on('end', () => done({ status: res.statusCode, text }));
      res.on('error', () => done({ status: 0, text: '' }));
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => done({ status: 0, text: '' }));
    req.end();
  });

/** The settings that the template of the deploy file gives in a small deployment. */
const settingsOf = (id, zone, store, ports, seeds) => {
  const [callers, readiness, directory, peers] = ports.map((port) => `127.0.0.1:${port}`);
  return {
    instance: {
      id,
      ip: '127.0.0.1',
      failureDomain: zone,
      region: ZONES[zone],
      capacity: { coreShare: 0.54, coreSpeed: 1, linkMbps: 1000 },
    },
    listen: { callers, readiness, directory, peers },
    metricsPort: ports[4],
    seeds,
    failureDomains: ZONES,
    terms: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'places', 'platform'],
    exchange: { scope: 'paced' },
    liveInstances: { scope: 'paced' },
    fairness: { scope: 'paced' },
    admission: { scope: 'paced' },
    pace: { scope: 'paced' },
    store: { address: store.address },
    bounds: {
      graceSeconds: 6,
      repeatRatio: 0.2,
      repeatExtra: 60,
      repeatWindowSeconds: 10,
      coldOverage: 1.5,
      coldSlack: 5,
      directoryTtlSeconds: 5,
    },
  };
};

/** Starts one instance in each of the zones, waits until all are ready, and adds to `closing` what ends them. */
export const startInstances = async (store, zones, closing) => {
  const folder = await mkdtemp(join(tmpdir(), 'review-'));
  const ports = await freePorts(zones.length * 5);
  const portsOf = (i) => ports.slice(i * 5, i * 5 + 5);
  const seeds = zones.map((_, i) => `127.0.0.1:${portsOf(i)[3]}`).slice(0, 3);
  const start = async (zone, i) => {
    const id = `front-${zone}-${i + 1}`;
    const settings = settingsOf(id, zone, store, portsOf(i), seeds);
    const file = join(folder, `${id}.json`);
    await writeFile(file, JSON.stringify(settings));
    const child = spawn(
      process.execPath,
      [
        '--max-old-space-size=200',
        '--no-memory-reducer',
        'target/launcher.cjs',
        'target/cardamomladder.cjs',
        'instance',
      ],
      {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: folder, CARDAMOMLADDER_NODE_FILE: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    let output = '';
    [child.stdout, child.stderr].forEach((stream) =>
      stream.on('data', (part) => {
        output += part;
      }),
    );
    const instance = { id, zone, ...settings.listen, child, exit: undefined, output: () => output };
    instance.exited = new Promise((done) => {
      child.once('exit', (code, signal) => {
        instance.exit = { code, signal, at: performance.now() };
        done(instance.exit);
      });
    });
    return instance;
  };
  const instances = await Promise.all(zones.map(start));
  const stop = async () => {
    instances.forEach(({ child, exit }) => {
      if (!exit) child.kill('SIGKILL');
    });
    await Promise.all(instances.map(({ exited }) => exited));
    await rm(folder, { recursive: true, force: true });
  };
  closing.push(stop);
  const until = performance.now() + READY_WITHIN_MS;
  for (;;) {
    const answers = await Promise.all(
      instances.map(({ readiness }) => get(readiness, '/v1/ready')),
    );
    if (answers.every(({ status }) => status === 200)) break;
    if (performance.now() > until) {
      const text = instances.map(({ output }) => output().slice(-2000)).join('\n');
      throw new Error(`instances did not become ready\n${text}`);
    }
    await sleep(POLL_MS);
  }
  return instances;
};

/** The addresses that an instance's directory names for a zone. */
export const resolveZone = async ({ directory }, host, zone) => {
  const { status, text } = await get(
    directory,
    `/v1/resolve?Name=${host}&Region=${ZONES[zone]}&Zone=${zone}`,
  );
  return status === 200 ? JSON.parse(text).Addresses : [];
};
