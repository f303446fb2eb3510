/** How the responses of targets end that have neither a length nor chunks. */
import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { PacedAgent } from '@cardamomladder/http-json';
import { sendAttempt } from '../forward';

const HEAD = 'HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n';
const REQUESTS = 40;
const ATTEMPT_MS = 2000;

const closing: (() => void)[] = [];
afterEach(() => closing.splice(0).forEach((close) => close()));

/** How a response ends at its reader. */
type ResponseEnd = 'complete' | 'failed' | 'not-run' | 'unknown';

/** Sends requests one after the other, which `answer` answers; returns how the responses end. */
const endsOf = async (
  answer: (socket: Socket) => void,
  agent: PacedAgent | false,
): Promise<ResponseEnd[]> => {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closing.push(() => server.close());
  const { port } = server.address() as AddressInfo;
  const send = async (): Promise<ResponseEnd> => {
    const result = await sendAttempt({
      address: `127.0.0.1:${port}`,
      method: agent ? 'GET' : 'POST',
      path: '/',
      headers: {},
      body: Buffer.alloc(0),
      deadlineAt: Date.now() + ATTEMPT_MS,
      attemptTimeoutMs: ATTEMPT_MS,
      connectTimeoutMs: ATTEMPT_MS,
      agent,
      signal: new AbortController().signal,
    });
    if (result.kind !== 'answer') return result.kind;
    return new Promise((resolve) => {
      result.body.on('end', () => resolve('complete'));
      result.body.on('error', () => resolve('failed'));
      result.body.resume();
    });
  };
  const ends: ResponseEnd[] = [];
  while (ends.length < REQUESTS) ends.push(await send());
  return ends;
};

const AGENTS: [string, () => PacedAgent | false][] = [
  ['pooled', () => new PacedAgent({ keepAlive: true })],
  ['new', () => false],
];

describe.each(AGENTS)('a response without a length on a %s connection', (_, createAgent) => {
  it.each([
    ['a part', `${HEAD}part`],
    ['its head', HEAD],
  ])('is not complete if it is reset behind %s', async (__, sent) => {
    // Guards against a reset that passes for the end of a response.
    const ends = await endsOf((socket) => {
      socket.write(sent);
      socket.resetAndDestroy();
    }, createAgent());
    expect(ends).not.toContain('complete');
  });

  it.each([
    ['short', 5],
    ['of several reads', 300_000],
    ['empty', 0],
  ])('is complete if it ends in order (%s)', async (__, bytes) => {
    // Guards against a check that takes whole responses for parts.
    const ends = await endsOf((socket) => socket.end(`${HEAD}${'x'.repeat(bytes)}`), createAgent());
    expect(ends).toEqual(ends.map(() => 'complete'));
  });
});
