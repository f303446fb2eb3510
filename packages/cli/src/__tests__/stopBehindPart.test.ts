/** A stop of an entry never makes a part of a response look whole. */
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
const GRACE_MS = 200;

const cluster = useCluster({ memberLagMs: 200 });
const closing: (() => void)[] = [];
afterEach(() => closing.splice(0).forEach((close) => close()));

/** Sends the targets of `bundle` to one that never ends its responses; returns its address. */
const startEndlessTarget = async (): Promise<string> => {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => socket.write(`HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n${PART}`));
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

const startShortEntry = (url: string) => {
  const settings = validateEntrySettings({
    id: 'entry-short',
    region: 'north',
    failureDomain: 'north-a',
    platform: { url, watchWaitMs: 1000 },
    membersPollMs: 100,
    drainGraceMs: GRACE_MS,
  });
  if (settings.isErr()) throw settings.error;
  return startEntry(settings.value);
};

describe('an entry that stops while a target has not ended a response without a length', () => {
  it('resets the connection of a caller of HTTP/1.0', async () => {
    // Guards against an orderly end behind a part, which makes it look whole.
    const target = await startEndlessTarget();
    const entry = await startShortEntry(cluster().platform.url);
    await entry.ready();
    const isKnown = () =>
      [...(entry.fleet.services.get(serviceName('bundle'))?.targets.values() ?? [])].some(
        ({ address }) => address === target,
      );
    while (!isKnown()) await sleep(50);
    const [host, port] = entry.address.split(':');
    const callers = Array.from({ length: CALLERS }, () => {
      const socket = connect(Number(port), host);
      socket.write('GET /s/bundle/plan HTTP/1.0\r\n\r\n');
      const begun = new Promise<void>((resolve) => {
        socket.on('data', (bytes) => {
          if (bytes.includes(PART)) resolve();
        });
      });
      const ended = new Promise<string>((resolve) => {
        socket.on('end', () => resolve('end'));
        socket.on('error', () => resolve('reset'));
      });
      return { begun, ended };
    });
    await Promise.all(callers.map(({ begun }) => begun));
    await entry.stop();
    expect(await Promise.all(callers.map(({ ended }) => ended))).toEqual(
      callers.map(() => 'reset'),
    );
  });
});
