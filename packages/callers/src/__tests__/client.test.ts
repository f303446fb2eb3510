/** How a caller counts responses that have neither a length nor chunks. */
import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import type { CallResult } from '../client';
import { Caller } from '../client';

const HEAD = 'HTTP/1.1 200 OK\r\nX-Outcome: ok\r\n\r\n';
const REQUESTS = 40;

const closing: (() => void)[] = [];
afterEach(() => closing.splice(0).forEach((close) => close()));

/** Results of calls one after the other, which `answer` answers. */
const resultsOf = async (answer: (socket: Socket) => void, method: string) => {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const caller = new Caller([{ id: 'a', address, failureDomain: 'fd', region: 'r' }]);
  closing.push(
    () => caller.close(),
    () => server.close(),
  );
  const results: CallResult[] = [];
  while (results.length < REQUESTS) results.push(await caller.call('s', { method }));
  return results;
};

describe.each(['GET', 'POST'])('a response without a length to %s', (method) => {
  it.each([
    ['a part', `${HEAD}part`],
    ['its head', HEAD],
  ])('counts as a transport error if it is reset behind %s', async (_, sent) => {
    // Guards against a load report that counts parts as whole responses.
    const results = await resultsOf((socket) => {
      socket.write(sent);
      socket.resetAndDestroy();
    }, method);
    expect(results.filter(({ outcome }) => outcome !== 'transport')).toEqual([]);
  });

  it('counts as its outcome, with all bytes, if it ends in order', async () => {
    // Guards against a check that takes whole responses for parts.
    const bytes = 300_000;
    const results = await resultsOf((socket) => socket.end(`${HEAD}${'x'.repeat(bytes)}`), method);
    expect(results.map((result) => [result.outcome, result.bytes])).toEqual(
      results.map(() => ['ok', bytes]),
    );
  });
});
