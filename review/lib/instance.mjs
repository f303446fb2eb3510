/** Starts instances of the program with the command of the deploy file. */
import { spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

const ROOT = join(import.meta.dirname, '..', '..');
/** The words of `run` in deploy/system.toml. */
const COMMAND = [
  '--max-old-space-size=200',
  '--no-memory-reducer',
  'target/launcher.cjs',
  'target/cardamomladder.cjs',
  'instance',
];
const READY_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 50;

/** Processes that run; none outlives the script, however it ends. */
const children = new Set();
process.on('exit', () => children.forEach((child) => child.kill('SIGKILL')));

const freePort = () =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

const settingsOf = ({ id, zone, region, zones, storeAddress, listen, graceS }) => ({
  instance: {
    id,
    ip: '127.0.0.1',
    failureDomain: zone,
    region,
    capacity: { coreShare: 0.54, coreSpeed: 1, linkMbps: 1000 },
  },
  listen,
  metricsPort: 0,
  seeds: [],
  failureDomains: zones,
  terms: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'places', 'platform'],
  exchange: { scope: 'paced' },
  liveInstances: { scope: 'paced' },
  fairness: { scope: 'paced' },
  admission: { scope: 'paced' },
  pace: { scope: 'paced' },
  store: { address: storeAddress },
  bounds: {
    graceSeconds: graceS,
    repeatRatio: 0.2,
    repeatExtra: 58,
    repeatWindowSeconds: 10,
    coldOverage: 1.5,
    coldSlack: 5,
    directoryTtlSeconds: 5,
  },
});

const get = (address, path) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const req = request({ host, port, path, agent: false }, (res) => {
      res.resume();
      res.on('end', () => resolve(res.statusCode));
      res.on('error', () => resolve(0));
    });
    req.on('error', () => resolve(0));
    req.end();
  });

/** Starts one instance and waits until it is ready. */
export const startInstance = async ({
  id,
  store,
  zone = 'rvk-a',
  region = 'reykjavik',
  zones = { 'rvk-a': 'reykjavik', 'aey-a': 'akureyri', 'egs-a': 'egilsstadir' },
  graceS = 6,
  ports: given,
}) => {
  const ports = given ?? (await Promise.all([freePort(), freePort(), freePort(), freePort()]));
  const [callers, readiness, directory, peers] = ports.map((port) => `127.0.0.1:${port}`);
  const listen = { callers, readiness, directory, peers };
  const folder = await mkdtemp(join(tmpdir(), 'review-'));
  const file = join(folder, 'settings.json');
  const settings = settingsOf({
    id,
    zone,
    region,
    zones,
    storeAddress: store.address,
    listen,
    graceS,
  });
  await writeFile(file, JSON.stringify(settings));
  const { PATH, HOME, LANG } = process.env;
  const child = spawn(process.execPath, COMMAND, {
    cwd: ROOT,
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { PATH, HOME, LANG, CARDAMOMLADDER_NODE_FILE: file },
  });
  children.add(child);
  child.once('exit', () => children.delete(child));
  let output = '';
  [child.stdout, child.stderr].forEach((stream) =>
    stream.on('data', (chunk) => {
      output += chunk.toString('utf8');
    }),
  );
  const exited = new Promise((resolve) => {
    child.once('exit', (code, signal) => resolve({ code, signal, at: performance.now() }));
  });
  const instance = {
    id,
    zone,
    region,
    ports,
    ...listen,
    child,
    exited,
    output: () => output,
    isReady: async () => (await get(readiness, '/v1/ready')) === 200,
    stop: async () => {
      child.kill('SIGKILL');
      await exited;
      await rm(folder, { recursive: true, force: true });
    },
  };
  const until = performance.now() + READY_TIMEOUT_MS;
  while (!(await instance.isReady())) {
    if (child.exitCode !== null || performance.now() > until) {
      await instance.stop();
      throw new Error(`instance ${id} did not become ready\n${output.slice(-2000)}`);
    }
    await sleep(READY_POLL_MS);
  }
  return instance;
};
