/** A stop of an entry never makes a part of a response look whole, and loses no whole one. */
import type { AddressInfo } from 'node:net';
import { connect, createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { startEntry } from '@cardamomladder/entry';
import { createMemberClient } from '@cardamomladder/member-list';
import { validateEntrySettings } from '@cardamomladder/settings';
import { serviceName } from '@cardamomladder/types';
import { sleep, useCluster } from '../__fixtures__/testCluster';

const PART = 'x'.repeat(1000);
const CALLERS = 3;
/** Targets of the service `bundle` in the tiny layout, whose slots the callers need together. */
const BUNDLES = 2;
const GRACE_MS = 200;

const cluster = useCluster({ memberLagMs: 200 });
const closing: (() => void)[] = [];
afterEach(() => closing.splice(0).forEach((close) => close()));

/** Sends the targets of `bundle` to one that answers with `response`; returns its address. */
const startTarget = async (response: string): Promise<string> => {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => socket.write(response));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closing.push(() => server.close());
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = createMemberClient(cluster().platform.url);
  const members = [...cluster().members.current.values()];
  const bundles = members.filter(({ service }) => service === 'bundle');
  await Promise.all(bundles.map((member) => client.announce({ ...member, address })));
  return address;
};

const startShortEntry = async (url: string, target: string) => {
  const settings = validateEntrySettings({
    id: 'entry-short',
    region: 'north',
    failureDomain: 'north-a',
    platform: { url, watchWaitMs: 1000 },
    membersPollMs: 100,
    drainGraceMs: GRACE_MS,
  });
  if (settings.isErr()) throw settings.error;
  const entry = await startEntry(settings.value);
  await entry.ready();
  const isKnown = () => {
    const targets = [...(entry.fleet.services.get(serviceName('bundle'))?.targets.values() ?? [])];
    return targets.length === BUNDLES && targets.every(({ address }) => address === target);
  };
  while (!isKnown()) await sleep(50);
  return entry;
};

/** Sends a request of HTTP/1.0, again while it is refused; resolves once a part of the response is there. */
const receivePart = async (port: number, host: string): Promise<{ ended: Promise<string> }> => {
  const socket = connect(port, host);
  const ended = new Promise<string>((resolve) => {
    socket.on('end', () => resolve('end'));
    socket.on('error', () => resolve('reset'));
  });
  const response = new Promise<string>((resolve) => {
    let received = '';
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
      if (received.includes(PART)) resolve(received);
    });
    socket.on('close', () => resolve(received));
  });
  socket.write('GET /s/bundle/plan HTTP/1.0\r\n\r\n');
  const received = await response;
  if (received.includes(PART)) return { ended };
  expect(received).toMatch(/^HTTP\/1\.1 503 /);
  await sleep(100);
  return receivePart(port, host);
};

describe('an entry that stops while a target has not ended a response without a length', () => {
  it('resets the connection of a caller of HTTP/1.0', async () => {
    // Guards against an orderly end behind a part, which makes it look whole.
    const target = await startTarget(`HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n${PART}`);
    const entry = await startShortEntry(cluster().platform.url, target);
    const [host, port] = entry.address.split(':');
    const callers = await Promise.all(
      Array.from({ length: CALLERS }, () => receivePart(Number(port), host)),
    );
    await entry.stop();
    expect(await Promise.all(callers.map(({ ended }) => ended))).toEqual(
      callers.map(() => 'reset'),
    );
  });
});

describe('an entry that stops while a response lies unread', () => {
  it('keeps the connection of a caller that writes again until it has read', async () => {
    // Guards against a close in one step, at which what the caller writes resets the response.
    const target = await startTarget(
      `HTTP/1.1 200 OK\r\nContent-Length: ${PART.length}\r\n\r\n${PART}`,
    );
    const entry = await startShortEntry(cluster().platform.url, target);
    const [host, port] = entry.address.split(':');
    const request = 'GET /s/bundle/plan HTTP/1.1\r\nHost: a\r\n\r\n';
    const socket = connect(Number(port), host);
    closing.push(() => socket.destroy());
    socket.on('error', () => {});
    socket.pause();
    socket.write(request);
    await sleep(300);
    const stopped = entry.stop();
    await sleep(2 * GRACE_MS);
    for (let i = 0; i < 2; i += 1) {
      socket.write(request);
      await sleep(50);
    }
    let received = '';
    const ended = new Promise<void>((resolve) => {
      socket.on('data', (bytes) => {
        received += bytes.toString('latin1');
      });
      socket.on('close', () => resolve());
    });
    socket.resume();
    await Promise.all([ended, stopped]);
    expect(received.endsWith(PART)).toBe(true);
  });
});
