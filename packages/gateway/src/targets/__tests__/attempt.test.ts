/** Which responses are accepted as statements of the target about itself. */
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { sleep } from '@cardamomladder/types';
import { beginSend } from '../__fixtures__/send';
import { TargetConnections } from '../connections';
import { IdleLimit } from '../idleLimit';

const BODY = 'x'.repeat(20);
const closing: (() => void)[] = [];
const now = () => performance.now();

/** Starts a server that responds to any request with these bytes and closes the connection. */
const startServer = async (bytes: string): Promise<number> => {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => socket.end(bytes));
  });
  closing.push(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as AddressInfo).port;
};
/** Returns the sources of the statements taken from such a response. */
const statementSources = async (
  status: string,
  headers: string[],
  body = BODY,
): Promise<string[]> => {
  const length = `content-length: ${BODY.length}`;
  const text = [`HTTP/1.1 ${status}`, length, ...headers].join('\r\n');
  const port = await startServer(`${text}\r\n\r\n${body}`);
  const connections = new TargetConnections(2, now, new IdleLimit());
  const sources: string[] = [];
  const { outcome } = beginSend(port, connections, (_, source) => sources.push(source));
  await outcome;
  connections.destroy();
  return sources;
};

afterEach(() => closing.splice(0).forEach((close) => close()));

describe('a send that is given up', () => {
  it('resets its connection, so that the request does not arrive when a cut link heals', async () => {
    // Guards against requests that run seconds after their repeat was answered.
    const ends: string[] = [];
    const server = createServer((socket) => {
      socket.resume();
      socket.on('end', () => ends.push('closed'));
      socket.on('error', ({ code }: NodeJS.ErrnoException) => ends.push(String(code)));
    });
    closing.push(() => server.close());
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const connections = new TargetConnections(2, now, new IdleLimit());
    const { port } = server.address() as AddressInfo;
    const { cancel, isConnected } = beginSend(port, connections);
    await vi.waitUntil(isConnected);
    cancel('timeout');
    await vi.waitUntil(() => ends.length > 0);
    expect(ends).toEqual(['ECONNRESET']);
    connections.destroy();
  });
});

describe('a response that is too large to buffer', () => {
  it('is given up if nobody takes its rest', async () => {
    // Guards against a target's connection that stays open after the caller has left.
    let closed = false;
    const body = 'x'.repeat(3_000_000);
    const server = createServer((socket) => {
      socket.on('error', () => {});
      socket.on('close', () => {
        closed = true;
      });
      const head = 'HTTP/1.1 200 OK\r\nx-id: r\r\nx-sig: s\r\n';
      socket.once('data', () =>
        socket.write(`${head}content-length: ${body.length}\r\n\r\n${body}`),
      );
    });
    closing.push(() => server.close());
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const connections = new TargetConnections(2, now, new IdleLimit());
    const attempt = beginSend((server.address() as AddressInfo).port, connections);
    const outcome = await attempt.outcome;
    expect(outcome.kind === 'answer' && outcome.remaining !== undefined).toBe(true);
    // A retry that comes too late cancels the send, and the response is passed on.
    attempt.cancel('timeout');
    await sleep(50);
    expect(closed).toBe(false);
    attempt.discard();
    await vi.waitUntil(() => closed);
    connections.destroy();
  });
});

describe('a request that Node.js refuses to send', () => {
  const TIMEOUT_MS = 50;

  it.each([
    ['a header beyond Latin-1', { headers: () => ({ 'x-customer': 'Reykjavík – Ægir' }) }],
    ['a header with a line break', { headers: () => ({ 'x-customer': 'a\nb' }) }],
    ['a path with a space', { path: '/a b' }],
    ['a port out of range', { port: 70_000 }],
    [
      'an exception while its headers are set',
      {
        headers: () => {
          throw new Error('no headers');
        },
      },
    ],
  ])('ends as not run and leaves no timer behind: %s', async (_, changes) => {
    // Guards against the end of the process when the timer of such a request expires.
    const uncaught = vi.fn();
    process.on('uncaughtException', uncaught);
    const connections = new TargetConnections(2, now, new IdleLimit());
    const options = { timeoutMs: TIMEOUT_MS, ...changes };
    const { outcome, cancel, isConnected } = beginSend(9, connections, undefined, options);
    expect(await outcome).toMatchObject({ kind: 'not-run', reason: 'unsendable' });
    cancel('cancelled');
    expect(isConnected()).toBe(false);
    await sleep(2 * TIMEOUT_MS);
    process.off('uncaughtException', uncaught);
    expect(uncaught).not.toHaveBeenCalled();
    connections.destroy();
  });
});

describe('the statement of a target', () => {
  it('is taken from all of its own responses and from no others', async () => {
    // Guards against statements that are read from complete successes only, or accepted from another target.
    const own = ['x-id: r', 'x-sig: s'];
    const sourcesByResponse = {
      success: await statementSources('200 OK', own),
      failure: await statementSources('500 Failed', own),
      'cut off': await statementSources('200 OK', own, 'x'),
      refusal: await statementSources('503 Full', ['x-not-run: 1', 'x-id: r']),
      'refusal that names no request': await statementSources('503 Full', ['x-not-run: 1']),
      'without its signature': await statementSources('200 OK', ['x-id: r']),
      'to another request': await statementSources('200 OK', ['x-id: other', 'x-sig: s']),
      'of another target': await statementSources('421 Misdirected', ['x-not-run: 1', 'x-id: r']),
    };
    expect(sourcesByResponse).toMatchInlineSnapshot(`
      {
        "cut off": [
          "run",
        ],
        "failure": [
          "run",
        ],
        "of another target": [],
        "refusal": [
          "refusal",
        ],
        "refusal that names no request": [
          "refusal",
        ],
        "success": [
          "run",
        ],
        "to another request": [],
        "without its signature": [
          "garbled",
        ],
      }
    `);
  });
});
