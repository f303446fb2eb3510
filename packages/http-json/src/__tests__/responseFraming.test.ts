/** Which responses have an end of their own, and how a reset of those that have none is seen. */
import type { IncomingMessage } from 'node:http';
import { request as httpRequest } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { PacedAgent } from '../pacedAgent';
import { detectReset, isFramed } from '../responseFraming';

const HEAD = 'HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n';
const REQUESTS = 50;
const PAUSE_MS = 5;

const closing: (() => void)[] = [];
afterEach(() => closing.splice(0).forEach((close) => close()));

const message = (headers: Record<string, string>, statusCode = 200) =>
  ({ headers, statusCode }) as unknown as IncomingMessage;

describe('isFramed', () => {
  it.each([
    ['a length', message({ 'content-length': '0' }), 'GET', true],
    ['chunks', message({ 'transfer-encoding': 'chunked' }), 'GET', true],
    ['chunks of another coding', message({ 'transfer-encoding': 'gzip, Chunked' }), 'GET', true],
    ['a coding that is not chunked', message({ 'transfer-encoding': 'identity' }), 'GET', false],
    ['neither', message({}), 'GET', false],
    ['no body', message({}, 204), 'GET', true],
    ['no body for HEAD', message({}), 'HEAD', true],
  ])('knows whether a response with %s has an end of its own', (_, response, method, framed) => {
    expect(isFramed(response, method)).toBe(framed);
  });
});

/** How a response ends at its client. */
type ResponseEnd = 'complete' | 'incomplete' | 'failed';

/**
 * Requests that are answered by `answer`, one after the other; returns how the responses
 * end, by default for a client that hears of errors of the request too.
 */
const endsOf = async (
  answer: (socket: Socket) => void,
  hearsOfRequest = true,
): Promise<ResponseEnd[]> => {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const agent = new PacedAgent({ keepAlive: true });
  closing.push(
    () => agent.destroy(),
    () => server.close(),
  );
  const { port } = server.address() as AddressInfo;
  const send = (): Promise<ResponseEnd> =>
    new Promise((resolve) => {
      const request = httpRequest({ host: '127.0.0.1', port, agent }, (response) => {
        response.resume();
        response.on('error', () => resolve('failed'));
        response.on('end', () => resolve(response.complete ? 'complete' : 'incomplete'));
      });
      detectReset(request);
      request.on('error', () => {
        if (hearsOfRequest) resolve('failed');
      });
      request.end();
    });
  const ends: ResponseEnd[] = [];
  while (ends.length < REQUESTS) ends.push(await send());
  return ends;
};

describe('a response that ends with its connection', () => {
  it.each<[string, (socket: Socket) => void]>([
    [
      'in one write',
      (socket) => {
        socket.write(`${HEAD}part`);
        socket.resetAndDestroy();
      },
    ],
    [
      'behind a pause',
      (socket) => {
        socket.write(HEAD);
        setTimeout(() => {
          socket.write('part');
          socket.resetAndDestroy();
        }, PAUSE_MS);
      },
    ],
    [
      'of several reads',
      (socket) => {
        socket.write(`${HEAD}${'x'.repeat(300_000)}`);
        setTimeout(() => socket.resetAndDestroy(), PAUSE_MS);
      },
    ],
  ])('is not complete if it is reset behind a part (%s)', async (_, answer) => {
    // Guards against a reset that passes for the end of a response.
    expect(await endsOf(answer)).not.toContain('complete');
    // Guards against a reset that is reported for the request only, while the response ends.
    expect(new Set(await endsOf(answer, false))).toEqual(new Set(['failed']));
  });

  it.each<[string, (socket: Socket) => void]>([
    ['in one write', (socket) => socket.end(`${HEAD}whole`)],
    ['of several reads', (socket) => socket.end(`${HEAD}${'x'.repeat(300_000)}`)],
    [
      'with a reset a moment behind its end',
      (socket) => {
        socket.end(`${HEAD}whole`);
        setTimeout(() => socket.resetAndDestroy(), PAUSE_MS);
      },
    ],
  ])('is complete if it ends in order (%s)', async (_, answer) => {
    const ends = await endsOf(answer);
    expect(ends).toEqual(ends.map(() => 'complete'));
  });
});
