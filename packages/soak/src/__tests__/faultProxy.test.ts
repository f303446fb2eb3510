/** The proxy harms as it says: what an end sees under each harm. */
import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { FaultProxy } from '..';
import { startFaultProxy } from '..';

const WAIT_MS = 300;

let echo: Server;
let arrived: string;
let proxy: FaultProxy;

const begin = (): Socket => {
  const [host, port] = proxy.address.split(':');
  const socket = connect(Number(port), host);
  socket.on('error', () => {});
  return socket;
};
const open = async (): Promise<Socket> => {
  const socket = begin();
  await once(socket, 'connect');
  return socket;
};
/** Resolves when the connection has ended, by a reset or in order. */
const closed = (socket: Socket): Promise<void> =>
  new Promise((resolve) => {
    if (socket.closed) resolve();
    else socket.once('close', () => resolve());
  });
/** What comes back within the wait. */
const say = async (socket: Socket, text: string): Promise<string> => {
  let heard = '';
  socket.on('data', (chunk: Buffer) => {
    heard += chunk.toString();
  });
  socket.write(text);
  await sleep(WAIT_MS);
  return heard;
};

beforeEach(async () => {
  arrived = '';
  echo = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (chunk: Buffer) => {
      arrived += chunk.toString();
      socket.write(chunk);
    });
  });
  echo.listen(0, '127.0.0.1');
  await once(echo, 'listening');
  proxy = await startFaultProxy();
  proxy.setTarget('127.0.0.1', (echo.address() as AddressInfo).port);
});
afterEach(async () => {
  await proxy.close();
  echo.close();
});

describe('the harming proxy', () => {
  it('passes all on, and late under delay', async () => {
    const socket = await open();
    expect(await say(socket, 'a')).toBe('a');
    proxy.harm('delay');
    const began = performance.now();
    const echoed = once(socket, 'data');
    socket.write('b');
    await echoed;
    expect(performance.now() - began).toBeGreaterThan(200);
  });

  it('passes nothing while silent, and all of it afterwards', async () => {
    const socket = await open();
    proxy.harm('silent');
    expect(await say(socket, 'a')).toBe('');
    expect(arrived).toBe('');
    proxy.harm('none');
    await sleep(WAIT_MS);
    expect(arrived).toBe('a');
  });

  it('passes only the way there when cut one way', async () => {
    const socket = await open();
    proxy.harm('one-way');
    expect(await say(socket, 'a')).toBe('');
    expect(arrived).toBe('a');
  });

  it('leaves old connections silent for good, while new ones work', async () => {
    const old = await open();
    expect(await say(old, 'a')).toBe('a');
    proxy.harm('old-silent');
    expect(await say(await open(), 'b')).toBe('b');
    proxy.harm('none');
    expect(await say(old, 'c')).toBe('');
    expect(arrived).toBe('ab');
  });

  it('resets what is open, and what comes while it refuses', async () => {
    const socket = await open();
    proxy.resetAll();
    await closed(socket);
    proxy.harm('refuse');
    await closed(begin());
    expect(arrived).toBe('');
  });
});
