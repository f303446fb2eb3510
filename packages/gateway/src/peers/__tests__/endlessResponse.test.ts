import type { Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { whileProgressing } from '@cardamomladder/http-json';
import { peerClient } from '../client';

const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const PART = Buffer.alloc(1024 * 1024, 'x');
const CHUNK = Buffer.concat([Buffer.from('100000\r\n'), PART, Buffer.from('\r\n')]);
/** The limit of size, and what the kernel holds besides, bytes. */
const MAX_BYTES = 32 * 1024 * 1024;
const SILENCE_MS = 400;
const MAX_MS = 6500;

let server: Server;
const sockets = new Set<Socket>();
/** Starts a peer that sends without end once it is asked; returns its address and how much was taken from it. */
const startPeer = async (send: (socket: Socket) => void) => {
  let closedAfter: number | undefined;
  server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => {
      closedAfter = socket.bytesWritten;
    });
    socket.once('data', () => send(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as { port: number };
  return { address: `127.0.0.1:${port}`, closedAfter: () => closedAfter };
};
const query = (address: string): Promise<unknown> =>
  peerClient(address, whileProgressing(SILENCE_MS)).facts.query({
    revision: 0,
    asker: null,
    unpacks: true,
  });

afterEach(
  () =>
    new Promise<void>((resolve) => {
      sockets.forEach((socket) => socket.destroy());
      server.close(() => resolve());
    }),
);

describe('a response of a peer that does not end', () => {
  it('is given up at its maximum size', async () => {
    // Guards against a response that fills the memory.
    const writeOn = (socket: Socket): void => {
      while (!socket.destroyed && socket.write(CHUNK));
      socket.once('drain', () => writeOn(socket));
    };
    const peer = await startPeer((socket) => {
      socket.write(HEAD);
      writeOn(socket);
    });
    await expect(query(peer.address)).rejects.toThrow(/incomplete after \d+ bytes/);
    await expect.poll(peer.closedAfter, { timeout: 1000 }).toBeLessThan(MAX_BYTES);
  });

  it(
    'is given up in time when a few bytes come at a time',
    async () => {
      // Guards against a response that keeps making progress and is read for good.
      const peer = await startPeer((socket) => {
        socket.write(HEAD);
        const timer = setInterval(() => socket.write('1\r\nx\r\n'), 200);
        socket.on('close', () => clearInterval(timer));
      });
      const since = performance.now();
      await expect(query(peer.address)).rejects.toThrow(/incomplete after/);
      expect(performance.now() - since).toBeLessThan(MAX_MS);
    },
    2 * MAX_MS,
  );

  it('is given up when its head does not end', async () => {
    // Guards against a head that is read for good.
    const peer = await startPeer((socket) => {
      socket.write('HTTP/1.1 200 OK\r\n');
      const timer = setInterval(() => socket.write('a: b\r\n'), 100);
      socket.on('close', () => clearInterval(timer));
    });
    const since = performance.now();
    await expect(query(peer.address)).rejects.toThrow(/no response within/);
    expect(performance.now() - since).toBeLessThan(2 * SILENCE_MS);
  });
});
