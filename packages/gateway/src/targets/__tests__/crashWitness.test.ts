/** Telling a crashed target from a broken connection, on real sockets. */
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { TargetEntry } from '@cardamomladder/fleet';
import type { TargetCrash } from '@cardamomladder/types';
import { callerDigest, requestDigest, targetId } from '@cardamomladder/types';
import { beginSend } from '../__fixtures__/send';
import type { Attempt } from '../attempt';
import { TargetConnections } from '../connections';
import { CrashWitness } from '../crashWitness';
import { IdleLimit } from '../idleLimit';
import { refusesConnections } from '../refusal';
import type { ReachableTarget } from '../registry';

const asked = (name: string) => ({ request: requestDigest(name), caller: callerDigest('c') });
const FIRST = asked('first');
const SECOND = asked('second');

let server: Server;
let sockets: Socket[];
let port: number;
let connections: TargetConnections;
let crashes: TargetCrash[];
let refusalChecks: number;
let detector: CrashWitness;

const createTarget = (): ReachableTarget =>
  ({
    host: '127.0.0.1',
    port,
    connections: () => connections,
    entry: { id: targetId('t-1'), startedAt: 7 } as TargetEntry,
  }) as unknown as ReachableTarget;
/** Sends a request that the target never answers. */
const startSend = (): Attempt => beginSend(port, connections);
const connected = async (count: number): Promise<void> => {
  while (sockets.length < count)
    await new Promise((resolve) => {
      setTimeout(resolve, 2);
    });
};

beforeEach(async () => {
  sockets = [];
  crashes = [];
  refusalChecks = 0;
  connections = new TargetConnections(8, () => performance.now(), new IdleLimit());
  detector = new CrashWitness(
    (host, at) => {
      refusalChecks += 1;
      return refusesConnections(host, at);
    },
    (crash) => crashes.push(crash),
  );
  server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => sockets.push(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  port = (server.address() as AddressInfo).port;
});
afterEach(() => {
  connections.destroy();
  sockets.forEach((socket) => socket.destroy());
  server.close();
});

describe('a connection that closes under a request', () => {
  it('shows a crash when all of them close and new ones are refused', async () => {
    const target = createTarget();
    const sends = [startSend(), startSend()];
    await connected(2);
    server.close();
    sockets.forEach((socket) => socket.resetAndDestroy());
    await Promise.all(sends.map((send) => send.outcome));
    const results = await Promise.all([
      detector.checkClosedConnection(target, FIRST),
      detector.checkClosedConnection(target, SECOND),
    ]);
    expect(results).toEqual([true, true]);
    expect(refusalChecks).toBe(1);
    // One that is read later belongs to the same crash.
    await detector.checkClosedConnection(target, asked('third'));
    expect(crashes).toEqual([
      { run: 't-1@7', requests: [FIRST, SECOND] },
      { run: 't-1@7', requests: [asked('third')] },
    ]);
  });

  it('shows a crash also when the others are read as closed a little later', async () => {
    // Symptom: a crash is not reported, though each request there failed.
    // Sequence: a busy instance reads the first close, then works on other
    // things for some ms; the look finds the target's other connections open.
    // Cause: one look, at a fixed time, decided.
    const target = createTarget();
    const sends = [startSend(), startSend()];
    await connected(2);
    server.close();
    sockets[0].resetAndDestroy();
    setTimeout(() => sockets[1].resetAndDestroy(), 25);
    await Promise.race(sends.map((send) => send.outcome));
    expect(await detector.checkClosedConnection(target, FIRST)).toBe(true);
    expect(crashes).toEqual([{ run: 't-1@7', requests: [FIRST] }]);
  });

  it('shows none while another connection of the target is open, and costs no look', async () => {
    // Symptom: requests are blamed for crashes that never were. Sequence: a
    // target loses the answer to one request by a reset and goes on serving
    // the others. Cause: a reset alone was taken for the target's end.
    const target = createTarget();
    const sends = [startSend(), startSend()];
    await connected(2);
    sockets[0].resetAndDestroy();
    await Promise.race(sends.map((send) => send.outcome));
    expect(await detector.checkClosedConnection(target, FIRST)).toBe(false);
    expect({ crashes, looks: refusalChecks }).toEqual({ crashes: [], looks: 0 });
  });

  it('shows none when the target takes a new connection', async () => {
    const target = createTarget();
    const send = startSend();
    await connected(1);
    sockets[0].resetAndDestroy();
    await send.outcome;
    expect(await detector.checkClosedConnection(target, FIRST)).toBe(false);
    expect({ crashes, looks: refusalChecks }).toEqual({ crashes: [], looks: 1 });
  });
});
