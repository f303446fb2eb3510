/** Keep-alive connections: the idle limit for reuse, and how resets change it. */
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { beginSend } from '../__fixtures__/send';
import type { Attempt } from '../attempt';
import { TargetConnections } from '../connections';
import { IdleLimit } from '../idleLimit';

const ANSWER = 'HTTP/1.1 200 OK\r\nx-id: r\r\nx-sig: s\r\ncontent-length: 2\r\n\r\nok';

let server: Server;
let port: number;
let accepted: number;
/** Number of requests per connection before the next one is reset. */
let requestsPerConnection: number;
/** True if responses have no length and are reset behind a part. */
let breaksOff: boolean;
/** What a connection gets in response to each request. */
let answer: string;
let now: number;
let idleLimit: IdleLimit;
let connections: TargetConnections;

const serveConnection = (socket: Socket): void => {
  accepted += 1;
  let served = 0;
  socket.on('error', () => {});
  socket.on('data', () => {
    served += 1;
    if (breaksOff) {
      socket.write('HTTP/1.1 200 OK\r\nx-id: r\r\nx-sig: s\r\n\r\npart');
      socket.resetAndDestroy();
    } else if (served <= requestsPerConnection) socket.write(answer);
    else socket.resetAndDestroy();
  });
};
/** Sends a request on an idle connection, if there is one. */
const startSend = (): Attempt => beginSend(port, connections);
const send = async (use: 'may-repeat' | 'at-most-once' = 'may-repeat'): Promise<string> => {
  connections.closeStaleConnections(use);
  const result = await startSend().outcome;
  return result.kind === 'answer' ? String(result.status) : result.reason;
};

beforeEach(async () => {
  accepted = 0;
  answer = ANSWER;
  breaksOff = false;
  requestsPerConnection = Infinity;
  now = 0;
  server = createServer(serveConnection);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  port = (server.address() as AddressInfo).port;
  idleLimit = new IdleLimit();
  connections = new TargetConnections(4, () => now, idleLimit);
});
afterEach(() => {
  connections.destroy();
  server.close();
});

describe('keep-alive connections', () => {
  it('are reused after some seconds idle, after fewer for non-idempotent requests', async () => {
    await send();
    now += 8000;
    expect([await send(), accepted]).toEqual(['200', 1]);
    now += 4000;
    expect([await send('at-most-once'), accepted]).toEqual(['200', 2]);
    now += 3000;
    expect([await send('at-most-once'), accepted]).toEqual(['200', 2]);
  });

  it('have a lower idle limit after a reset on reuse, which rises again later', async () => {
    // Failure: one request in ten failed with a closed connection. A target
    // dropped idle connections after two seconds, so each request after a pause
    // was reset, and the idle limit never changed.
    requestsPerConnection = 1;
    await send();
    now += 3000;
    expect(await send()).toBe('closed');
    requestsPerConnection = Infinity;
    await send();
    now += 2000;
    const before = accepted;
    expect(await send()).toBe('200');
    expect(accepted).toBe(before + 1);
    now += 60_000;
    expect(idleLimit.current(now)).toBe(8500);
  });

  it('keep their idle limit if a response is reset behind a part of it', async () => {
    // Guards against a target that breaks off responses and is taken for one that drops idle connections.
    await send();
    now += 3000;
    breaksOff = true;
    expect(await send()).toBe('closed');
    expect(idleLimit.current(now)).toBe(8500);
  });

  it('keep their idle limit if the caller disconnects', async () => {
    await send();
    now += 3000;
    const attempt = startSend();
    attempt.cancel('cancelled');
    await attempt.outcome;
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    expect(idleLimit.current(now)).toBe(8500);
  });
});

describe('a connection on which more arrives than its response', () => {
  it('is not used by a request that waits for it', async () => {
    // Guards against bytes that were read with one response and are taken for a part of the next.
    const head = 'HTTP/1.1 200 OK\r\nx-id: r\r\nx-sig: s\r\ncontent-length: ';
    const first = `${head}${8192 - head.length - 8}\r\n\r\n`.padEnd(8192, 'a');
    answer = first + 'x'.repeat(50_000);
    connections = new TargetConnections(1, () => now, idleLimit);
    const outcomes = await Promise.all(
      [startSend(), startSend(), startSend()].map(({ outcome }) => outcome),
    );
    expect(outcomes.map(({ kind }) => kind)).toEqual(['answer', 'answer', 'answer']);
    expect(accepted).toBe(3);
  });
});
