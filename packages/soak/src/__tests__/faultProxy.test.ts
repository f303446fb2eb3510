/** What both ends of a connection observe under each fault of the proxy. */
import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { FaultProxy } from '..';
import { startFaultProxy } from '..';

const WAIT_MS = 300;

let echo: Server;
let received: string;
let proxy: FaultProxy;

const startConnecting = (): Socket => {
  const [host, port] = proxy.address.split(':');
  const socket = connect(Number(port), host);
  socket.on('error', () => {});
  return socket;
};
const connectThroughProxy = async (): Promise<Socket> => {
  const socket = startConnecting();
  await once(socket, 'connect');
  return socket;
};
/** Resolves when the connection has been closed or reset. */
const closed = (socket: Socket): Promise<void> =>
  new Promise((resolve) => {
    if (socket.closed) resolve();
    else socket.once('close', () => resolve());
  });
/** Sends a text and returns what arrives within `WAIT_MS`. */
const sendAndCollect = async (socket: Socket, text: string): Promise<string> => {
  let collected = '';
  socket.on('data', (chunk: Buffer) => {
    collected += chunk.toString();
  });
  socket.write(text);
  await sleep(WAIT_MS);
  return collected;
};

beforeEach(async () => {
  received = '';
  echo = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString();
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

describe('startFaultProxy', () => {
  it('forwards all data, and delays it under "delay"', async () => {
    const socket = await connectThroughProxy();
    expect(await sendAndCollect(socket, 'a')).toBe('a');
    proxy.setFault('delay');
    const startedAt = performance.now();
    const echoed = once(socket, 'data');
    socket.write('b');
    await echoed;
    expect(performance.now() - startedAt).toBeGreaterThan(200);
  });

  it('forwards nothing under "silent", and the deferred data afterwards', async () => {
    const socket = await connectThroughProxy();
    proxy.setFault('silent');
    expect(await sendAndCollect(socket, 'a')).toBe('');
    expect(received).toBe('');
    proxy.setFault('none');
    await sleep(WAIT_MS);
    expect(received).toBe('a');
  });

  it('forwards data only from the client under "one-way"', async () => {
    const socket = await connectThroughProxy();
    proxy.setFault('one-way');
    expect(await sendAndCollect(socket, 'a')).toBe('');
    expect(received).toBe('a');
  });

  it('stops forwarding on open connections for good under "old-silent", while new ones work', async () => {
    const old = await connectThroughProxy();
    expect(await sendAndCollect(old, 'a')).toBe('a');
    proxy.setFault('old-silent');
    expect(await sendAndCollect(await connectThroughProxy(), 'b')).toBe('b');
    proxy.setFault('none');
    expect(await sendAndCollect(old, 'c')).toBe('');
    expect(received).toBe('ab');
  });

  it('resets open connections, and new ones under "refuse"', async () => {
    const socket = await connectThroughProxy();
    proxy.resetAll();
    await closed(socket);
    proxy.setFault('refuse');
    await closed(startConnecting());
    expect(received).toBe('');
  });
});

describe('a reset behind data', () => {
  it.each([0, 5])('is passed on as a reset, %i ms after the data', async (pauseMs) => {
    // Guards against a proxy that turns a reset into an orderly end.
    const RESETS = 50;
    echo.removeAllListeners('connection');
    echo.on('connection', (socket: Socket) => {
      socket.on('error', () => {});
      socket.once('data', () => {
        socket.write('part');
        setTimeout(() => socket.resetAndDestroy(), pauseMs);
      });
    });
    const ends: string[] = [];
    for (let i = 0; i < RESETS; i += 1) {
      const socket = await connectThroughProxy();
      socket.on('error', ({ code }: NodeJS.ErrnoException) => ends.push(String(code)));
      socket.on('end', () => ends.push(socket.remoteAddress === undefined ? 'ECONNRESET' : 'end'));
      socket.resume();
      socket.write('request');
      await closed(socket);
    }
    expect(ends).toEqual(Array.from({ length: RESETS }, () => 'ECONNRESET'));
  });
});

describe('an orderly end behind data', () => {
  const LARGE_BYTES = 3_000_000;
  /** Sends a body and ends its connection, and returns how much of it arrives and how it ends. */
  const receive = async (bytes: number, whileHeld: () => Promise<void>, readLateMs = 0) => {
    echo.removeAllListeners('connection');
    echo.on('connection', (socket: Socket) => {
      socket.on('error', () => {});
      socket.once('data', () => socket.end(Buffer.alloc(bytes, 'x')));
    });
    const socket = await connectThroughProxy();
    let size = 0;
    let end = 'end';
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      end = String(code);
    });
    socket.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (readLateMs === 0) return;
      socket.pause();
      setTimeout(() => socket.resume(), readLateMs);
    });
    socket.write('request');
    await whileHeld();
    await closed(socket);
    return { size, end };
  };

  it.each([0, 2])('waits for all of the data, read %i ms late', async (readLateMs) => {
    // Guards against a proxy that makes a part look whole.
    const received3MB = await receive(LARGE_BYTES, async () => {}, readLateMs);
    expect(received3MB).toEqual({ size: LARGE_BYTES, end: 'end' });
  });

  it('comes after data that is delayed, also if the delay ends meanwhile', async () => {
    proxy.setFault('delay');
    const whileHeld = async () => {
      await sleep(150);
      proxy.setFault('none');
    };
    expect(await receive(LARGE_BYTES, whileHeld)).toEqual({ size: LARGE_BYTES, end: 'end' });
  });

  it('is a reset if the data never arrives', async () => {
    const whileHeld = async () => {
      await sleep(WAIT_MS);
      proxy.setFault('none');
    };
    proxy.setFault('one-way');
    expect(await receive(9, whileHeld)).toEqual({ size: 0, end: 'ECONNRESET' });
  });
});
