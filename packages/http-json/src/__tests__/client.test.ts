/** Which responses of the platform's services a call returns. */
import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { callJson } from '../client';

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n';
const DOCUMENT = { items: ['x'.repeat(300_000)], revision: 7 };
const CALLS = 40;
const TIMEOUT_MS = 2000;

const closing: (() => void)[] = [];
afterEach(() => closing.splice(0).forEach((close) => close()));

const startServer = async (answer: (socket: Socket) => void): Promise<string> => {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closing.push(() => server.close());
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

/** Results of calls one after the other, which `answer` answers. */
const resultsOf = async (answer: (socket: Socket) => void, method: string) => {
  const url = await startServer(answer);
  const results: unknown[] = [];
  while (results.length < CALLS) {
    const body = method === 'PUT' ? { value: 'a' } : undefined;
    const result = await callJson(`${url}/v1`, { method, body, timeoutMs: TIMEOUT_MS });
    results.push(result.isOk() ? result.value : { possiblySent: result.error.possiblySent });
  }
  return results;
};

describe.each(['GET', 'PUT'])('a response without a length to %s', (method) => {
  it.each([
    ['its head', ''],
    ['a part that is JSON too', '12'],
    ['a part', '{"items":['],
  ])('is an error if it is reset behind %s', async (_, part) => {
    // Guards against a reset that passes for the end of a response.
    const results = await resultsOf((socket) => {
      socket.write(`${HEAD}${part}`);
      socket.resetAndDestroy();
    }, method);
    expect(results).toEqual(results.map(() => ({ possiblySent: true })));
  });

  it.each([
    ['a document', JSON.stringify(DOCUMENT), DOCUMENT],
    ['no body', '', undefined],
  ])('is returned with %s if it ends in order', async (_, text, body) => {
    // Guards against a check that takes whole responses for parts.
    const results = await resultsOf((socket) => socket.end(`${HEAD}${text}`), method);
    expect(results).toEqual(results.map(() => ({ status: 200, body })));
  });
});

describe('a call', () => {
  it('fails in time if a response does not end', async () => {
    // Guards against a limit that ends with the head of the response.
    const url = await startServer((socket) => socket.write(`${HEAD}{`));
    const result = await callJson(url, { timeoutMs: 100 });
    expect(result.isErr() && result.error.possiblySent).toBe(true);
  });

  it('tells that a request was not sent', async () => {
    // Guards against writes of unknown outcome while the store is down.
    const url = await startServer(() => {});
    closing.splice(0).forEach((close) => close());
    const result = await callJson(url, { timeoutMs: TIMEOUT_MS });
    expect(result.isErr() && !result.error.possiblySent).toBe(true);
  });
});
