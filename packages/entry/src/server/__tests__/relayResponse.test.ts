/** What callers and the deduplication cache get of responses without a length that break off. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer as createHttpServer } from 'node:http';
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import type { TargetView } from '@cardamomladder/steering';
import { sendAttempt } from '@cardamomladder/targets';
import { requestKey } from '@cardamomladder/types';
import { DedupCache } from '../../state/dedup';
import { agentFor } from '../connectionPools';
import { relayResponse } from '../relayResponse';

const HEAD = 'HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n';
const BODY = 'x'.repeat(1000);
const REQUESTS = 40;
const ATTEMPT_MS = 2000;
const LAST_CHUNK = '0\r\n\r\n';

const closing: (() => void)[] = [];
afterEach(() => closing.splice(0).forEach((close) => close()));

const listen = async (server: Server): Promise<number> => {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closing.push(() => server.close());
  return (server.address() as AddressInfo).port;
};

/** What a caller receives: its bytes, and whether the connection was reset behind them. */
interface Received {
  text: string;
  wasReset: boolean;
}

const receive = (port: number, version: string): Promise<Received> =>
  new Promise((resolve) => {
    let text = '';
    const socket = connect(port, '127.0.0.1');
    socket.write(`GET / HTTP/${version}\r\nHost: a\r\nConnection: close\r\n\r\n`);
    // Read in another turn than the reset, so that it is seen as one.
    socket.on('data', (part) => {
      text += part.toString('latin1');
      socket.pause();
      setImmediate(() => socket.resume());
    });
    socket.on('error', () => resolve({ text, wasReset: true }));
    socket.on('end', () => resolve({ text, wasReset: false }));
  });

/** A relay to one target that `answer` plays. */
const startRelay = async (answer: (socket: Socket) => void, isPooled: boolean) => {
  const target = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => answer(socket));
  });
  const address = `127.0.0.1:${await listen(target)}`;
  const dedup = new DedupCache();
  const keys: ReturnType<typeof requestKey>[] = [];
  const relay = async (req: IncomingMessage, res: ServerResponse) => {
    const key = requestKey(`visit-${keys.length}`);
    keys.push(key);
    dedup.claim(key);
    const abortController = new AbortController();
    res.on('close', () => {
      if (!res.writableFinished) abortController.abort();
    });
    const result = await sendAttempt({
      address,
      method: 'POST',
      path: '/',
      headers: {},
      body: Buffer.alloc(0),
      deadlineAt: Date.now() + ATTEMPT_MS,
      attemptTimeoutMs: ATTEMPT_MS,
      connectTimeoutMs: ATTEMPT_MS,
      agent: isPooled ? agentFor(address) : false,
      signal: abortController.signal,
    });
    if (result.kind === 'answer')
      await relayResponse(res, result, { id: 't' } as TargetView, 1, key, dedup);
    else {
      dedup.markUnknown(key);
      res.destroy();
    }
  };
  const port = await listen(
    createHttpServer((req, res) => {
      relay(req, res).catch(() => res.destroy());
    }),
  );
  return { port, stored: () => keys.map((key) => dedup.claim(key)) };
};

const receiveAll = async (port: number, version: string): Promise<Received[]> => {
  const all: Received[] = [];
  while (all.length < REQUESTS) all.push(await receive(port, version));
  return all;
};

const BROKEN_OFF: [string, string][] = [
  ['a part', `${HEAD}${BODY.slice(0, BODY.length / 2)}`],
  ['its head', HEAD],
];

describe.each([true, false])('a relayed response without a length (pooled: %s)', (isPooled) => {
  it.each(BROKEN_OFF)('gets no last chunk if it is reset behind %s', async (_, sent) => {
    // Guards against a part that is stored for duplicates, and that looks whole to its caller.
    const { port, stored } = await startRelay((socket) => {
      socket.write(sent);
      socket.resetAndDestroy();
    }, isPooled);
    const received = await receiveAll(port, '1.1');
    expect(received.filter(({ text }) => text.endsWith(LAST_CHUNK))).toEqual([]);
    expect(stored()).toEqual(received.map(() => ({ kind: 'unknown' })));
  });

  it('is stored and arrives whole if it ends in order', async () => {
    // Guards against a check that takes whole responses for parts.
    const { port, stored } = await startRelay((socket) => socket.end(`${HEAD}${BODY}`), isPooled);
    const received = await receiveAll(port, '1.1');
    expect(received.filter(({ text }) => !text.includes(BODY))).toEqual([]);
    expect(received.filter(({ text }) => !text.endsWith(LAST_CHUNK))).toEqual([]);
    stored().forEach((decision) => {
      expect(decision.kind === 'replay' && decision.answer.body.toString()).toBe(BODY);
    });
  });
});

describe('a relayed response without a length to a caller of HTTP/1.0', () => {
  it.each(BROKEN_OFF)('ends with a reset if it is reset behind %s', async (_, sent) => {
    // Guards against an orderly end behind a part, which makes it look whole.
    const { port } = await startRelay((socket) => {
      socket.write(sent);
      socket.resetAndDestroy();
    }, false);
    const received = await receiveAll(port, '1.0');
    expect(received.filter(({ text, wasReset }) => text !== '' && !wasReset)).toEqual([]);
  });

  it('ends with a reset if its target is late with the rest', async () => {
    // Guards against an orderly end of the connection of a caller that has a part already.
    const { port } = await startRelay((socket) => {
      socket.write(BROKEN_OFF[0][1]);
      setTimeout(() => socket.resetAndDestroy(), 20);
    }, false);
    const received = await receiveAll(port, '1.0');
    expect(received.filter(({ text, wasReset }) => text !== '' && !wasReset)).toEqual([]);
  });

  it('ends in order if it is whole', async () => {
    // Guards against a reset that takes a whole response back.
    const { port } = await startRelay((socket) => socket.end(`${HEAD}${BODY}`), false);
    const received = await receiveAll(port, '1.0');
    expect(received.filter(({ text, wasReset }) => wasReset || !text.endsWith(BODY))).toEqual([]);
  });
});
