/** The limits of connections whose sending half is closed. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import type { ClosedConnection } from '../lingeringClose';
import { ConnectionCloser, endsWithConnection } from '../lingeringClose';

const LIMITS = { maxMs: 400, maxBytes: 10_000, maxMsOverBytes: 150, maxConnections: 3 };
/** The largest part that the system hands over at once. */
const PART_BYTES = 64 * 1024;
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n';

let server: Server;
let closer: ConnectionCloser;
let closed: ClosedConnection[];
let sockets: Socket[];

const idOf = ({ url }: IncomingMessage): string | undefined => url;
const isAwaited = ({ url }: IncomingMessage): boolean => url !== '/poll';
const answerAtOnce = (_: IncomingMessage, res: ServerResponse): void => {
  res.end('answer');
};
const listen = async (handle = answerAtOnce): Promise<void> => {
  closed = [];
  sockets = [];
  server = createServer(handle);
  const onClosed = (each: ClosedConnection) => closed.push(each);
  closer = new ConnectionCloser(server, { idOf, isAwaited, onClosed, limits: LIMITS });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
};
/** Connects a peer that keeps its own half open; resolves with what it gets until the server closes its half. */
const ask = (text: string): { socket: Socket; received: Promise<string> } => {
  const { port } = server.address() as AddressInfo;
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  sockets.push(socket);
  socket.on('error', () => {});
  let received = '';
  socket.on('data', (part: Buffer) => {
    received += part.toString('latin1');
  });
  socket.write(text);
  return {
    socket,
    received: new Promise((resolve) => {
      socket.on('end', () => resolve(received));
      socket.on('close', () => resolve(received));
    }),
  };
};
const untilClosed = async (count: number): Promise<void> => {
  while (closed.length < count) await sleep(5);
};

afterEach(async () => {
  sockets.forEach((socket) => socket.destroy());
  await closer.closeAll(100);
});

describe('a connection whose sending half is closed', () => {
  it('ends when its peer has closed its half too', async () => {
    await listen();
    const { socket, received } = ask(REQUEST);
    expect(await received).toMatch(/answer$/);
    await sleep(100);
    expect(closed).toEqual([]);
    socket.end();
    await untilClosed(1);
    expect(closed[0]).toMatchObject({
      reason: 'answered',
      endedBy: 'peer',
      lastAnswered: '/',
      unanswered: [],
      unsentBytes: 0,
    });
  });

  it('ends after a time if its peer does not', async () => {
    // Guards against connections that are kept for peers that are gone.
    await listen();
    await ask(REQUEST).received;
    await untilClosed(1);
    expect(closed[0].endedBy).toBe('time');
    expect(closed[0].lingeredMs).toBeGreaterThan(LIMITS.maxMs - 20);
    expect(closed[0].lingeredMs).toBeLessThan(LIMITS.maxMs * 2);
  });

  it('ends after a number of bytes, and reads no more of them', async () => {
    // Guards against peers that write without end.
    await listen();
    const { socket, received } = ask(REQUEST);
    expect(await received).toMatch(/answer$/);
    const timer = setInterval(() => socket.write(Buffer.alloc(PART_BYTES)), 2);
    await untilClosed(1);
    clearInterval(timer);
    expect(closed[0].endedBy).toBe('bytes');
    expect(closed[0].discardedBytes).toBeLessThan(LIMITS.maxBytes + 2 * PART_BYTES);
    expect(closed[0].lingeredMs).toBeLessThan(LIMITS.maxMs);
  });

  it('ends at once if there are too many, the oldest first', async () => {
    // Guards against any number of peers that don't close their half.
    await listen();
    const peers = Array.from({ length: LIMITS.maxConnections + 2 }, () => ask(REQUEST));
    await Promise.all(peers.map(({ received }) => received));
    await untilClosed(2);
    expect(closed.map(({ endedBy }) => endedBy)).toEqual(['number', 'number']);
  });

  it('serves no further request', async () => {
    let requests = 0;
    await listen((req, res) => {
      requests += 1;
      answerAtOnce(req, res);
    });
    const { socket, received } = ask(REQUEST);
    await received;
    socket.write(REQUEST);
    socket.end();
    await untilClosed(1);
    expect(requests).toBe(1);
    expect(closed[0].discardedBytes).toBe(REQUEST.length);
  });
});

describe('the connections of a server that stops', () => {
  it('are closed within a time, whatever their peers do', async () => {
    await listen();
    const kept = ask(REQUEST.replace('Connection: close\r\n', ''));
    const closing = ask(REQUEST);
    await closing.received;
    closing.socket.end();
    const stopping = closer.closeAll(200);
    expect(await kept.received).toMatch(/answer$/);
    await stopping;
    expect(closed.map(({ reason, endedBy }) => [reason, endedBy])).toEqual([
      ['answered', 'peer'],
      ['stop', 'time'],
    ]);
  });

  it('are closed after the responses that are pending', async () => {
    // Guards against answers that are cut though they are ready before the process ends.
    await listen((_, res) => {
      setTimeout(() => res.end('late answer'), 100);
    });
    const kept = REQUEST.replace('Connection: close\r\n', '');
    const { socket, received } = ask(kept + kept);
    await sleep(50);
    const stopping = closer.closeAll(1000);
    expect(await received).toMatch(/late answer[^]*late answer$/);
    socket.end();
    await stopping;
    expect(closed).toMatchObject([{ reason: 'stop', endedBy: 'peer', unanswered: [] }]);
  });

  it('are closed at once if only responses are pending that it does not wait for', async () => {
    // Guards against stops that last as long as peers' polls.
    await listen((_, res) => {
      setTimeout(() => res.end('late answer'), 100);
    });
    const { socket, received } = ask(REQUEST.replace('GET / ', 'GET /poll '));
    await sleep(50);
    const stopping = closer.closeAll(1000);
    expect(await received).toBe('');
    await sleep(100);
    socket.end();
    await stopping;
    expect(closed).toMatchObject([{ reason: 'stop', endedBy: 'peer', unanswered: ['/poll'] }]);
  });

  it.each([
    { framing: 'that ends with its connection', isReset: true, headers: {} },
    { framing: 'of a known length', isReset: false, headers: { 'content-length': 10 } },
  ])('do not make a part of an answer $framing look whole', async ({ isReset, headers }) => {
    // Guards against an orderly close behind a truncated answer.
    await listen((_, res) => {
      if (isReset) {
        res.useChunkedEncodingByDefault = false;
        endsWithConnection(res);
      }
      res.writeHead(200, headers);
      res.write('part');
    });
    const { socket, received } = ask(REQUEST);
    let hasReset = false;
    socket.on('error', () => {
      hasReset = true;
    });
    await sleep(50);
    const stopping = closer.closeAll(200);
    await received;
    await stopping;
    expect(hasReset).toBe(isReset);
  });
});
