import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { sleep } from '@cardamomladder/types';
import { AcceptQueue } from '../../server/acceptQueue';
import { ReadBarrier } from '../readBarrier';

const WORK_MS = 3;
/** Works that fit into one slice of 10 ms, and one that is begun before it is used up. */
const MAX_WORKS_PER_TURN = 4;
const CONNECTIONS = 40;
/** For all work, however busy the machine is, ms. */
const MAX_WAIT_MS = 10_000;
/** One connection is accepted for each work if it is begun in every turn. */
const MIN_ACCEPTED_PER_WORK = 1.5;

const now = () => performance.now();
const spin = (ms: number): void => {
  const until = now() + ms;
  while (now() < until);
};
const barrierOf = (mayAcceptMore = () => false) => new ReadBarrier({ now, mayAcceptMore });

let server: Server | undefined;
const listen = async (onConnection: (socket: Socket) => void): Promise<number> => {
  server = createServer(onConnection);
  await new Promise<void>((resolve) => {
    server?.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as { port: number }).port;
};
afterEach(() => {
  server?.close();
  server = undefined;
});

describe('the read barrier', () => {
  it('opens after a close that had arrived with the data has been read', async () => {
    // Guards against work for a caller whose close waits in the kernel behind its request.
    const barrier = barrierOf();
    const seen: string[] = [];
    const port = await listen((socket) => {
      socket.on('error', () => {});
      socket.on('end', () => seen.push('end'));
      socket.on('data', () => {
        seen.push('data');
        barrier.passed().then(
          () => seen.push('work'),
          () => {},
        );
      });
    });
    const client = connect(port, '127.0.0.1');
    await new Promise((resolve) => {
      client.once('connect', resolve);
    });
    await sleep(20);
    client.write('x');
    client.destroy();
    spin(20);
    await sleep(50);
    expect(seen).toEqual(['data', 'end', 'work']);
  });

  it('begins work in order, in slices between which other events are handled', async () => {
    // Guards against a long turn in which nothing is read.
    const barrier = barrierOf();
    const begun: number[] = [];
    const turns: number[] = [];
    let turn = 0;
    let isRunning = true;
    const countTurns = () => {
      turn += 1;
      if (isRunning) setImmediate(countTurns);
    };
    setImmediate(countTurns);
    await Promise.all(
      Array.from({ length: 20 }, async (_, i) => {
        await barrier.passed();
        begun.push(i);
        turns.push(turn);
        spin(WORK_MS);
      }),
    );
    isRunning = false;
    expect(begun).toEqual(Array.from({ length: 20 }, (_, i) => i));
    const perTurn = [...new Set(turns)].map((each) => turns.filter((t) => t === each).length);
    expect(Math.max(...perTurn)).toBeLessThanOrEqual(MAX_WORKS_PER_TURN);
  });

  it('lets connections be accepted before work that is due', async () => {
    // Guards against connections that wait, one accepted in each turn, while each turn works.
    const acceptQueue = new AcceptQueue(now, () => {});
    const barrier = barrierOf(() => acceptQueue.mayHoldMore);
    const acceptedAtWork: number[] = [];
    let accepted = 0;
    const port = await listen((socket) => {
      accepted += 1;
      socket.on('error', () => {});
      socket.on('data', () => {
        barrier.passed().then(
          () => {
            acceptedAtWork.push(accepted);
            spin(WORK_MS);
          },
          () => {},
        );
      });
    });
    acceptQueue.watch(server as Server);
    const clients = Array.from({ length: CONNECTIONS }, () => connect(port, '127.0.0.1'));
    clients.forEach((client) => client.write('x'));
    spin(20);
    await vi.waitUntil(() => acceptedAtWork.length >= CONNECTIONS, { timeout: MAX_WAIT_MS });
    clients.forEach((client) => client.destroy());
    expect(acceptedAtWork).toHaveLength(CONNECTIONS);
    const isTooFew = (count: number, work: number) =>
      count < Math.min(CONNECTIONS, MIN_ACCEPTED_PER_WORK * (work + 1));
    expect(acceptedAtWork.filter(isTooFew)).toEqual([]);
  });
});
