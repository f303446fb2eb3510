/**
 * Control-plane cost of a fleet of N entries that share one platform stand-in:
 * store calls and bytes per entry and second while idle, and the propagation of
 * one configuration change (time until all entries apply it, store calls made).
 */
import type { Socket } from 'node:net';
import { applyDocument } from '@cardamomladder/console';
import type { Entry } from '@cardamomladder/entry';
import { startEntry } from '@cardamomladder/entry';
import { createMemberClient, createMemberListStandin } from '@cardamomladder/member-list';
import { createKvClient, startPlatformStandin } from '@cardamomladder/platform-kv';
import { validateEntrySettings } from '@cardamomladder/settings';
import { syntheticDocument, syntheticMembers } from './unitCosts';

/** Measurements for one fleet size. */
export interface FleetMeasurements {
  entries: number;
  idleCallsPerEntryPerSecond: number;
  idleBytesPerEntryPerSecond: number;
  fanOutMs: number;
  callsPerChange: number;
  heapMbPerEntry: number;
}

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Runs `n` entries idle for `idleMs`, then applies one change and measures its propagation. */
export const measureFleet = async (n: number, idleMs: number): Promise<FleetMeasurements> => {
  const members = createMemberListStandin(1000);
  const platform = await startPlatformStandin({ handlers: [members.handle] });
  let closedSocketBytes = 0;
  const sockets = new Set<Socket>();
  platform.server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.on('close', () => {
      closedSocketBytes += socket.bytesRead + socket.bytesWritten;
      sockets.delete(socket);
    });
  });
  const totalBytes = () =>
    closedSocketBytes +
    [...sockets].reduce((s, socket) => s + socket.bytesRead + socket.bytesWritten, 0);
  const totalCalls = () =>
    [...platform.kv.calls.values()].reduce((a, b) => a + b, 0) + members.reads();
  const kv = createKvClient({ url: platform.url });
  const memberClient = createMemberClient(platform.url);
  await Promise.all(syntheticMembers(3, 14, 3).map((m) => memberClient.announce(m)));
  const first = await applyDocument(kv, syntheticDocument(3, 3, 0));
  if (first.isErr()) throw first.error;
  (globalThis as { gc?: () => void }).gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const entries: Entry[] = [];
  for (let i = 0; i < n; i += 1) {
    const settings = validateEntrySettings({
      id: `bench-${i}`,
      region: `region-${i % 3}`,
      failureDomain: `fd-${i % 3}-a`,
      platform: { url: platform.url },
    });
    if (settings.isErr()) throw settings.error;
    entries.push(await startEntry(settings.value));
  }
  await Promise.all(entries.map((e) => e.ready()));
  await sleep(2000);
  (globalThis as { gc?: () => void }).gc?.();
  const heapMbPerEntry = (process.memoryUsage().heapUsed - heapBefore) / n / 1e6;
  const callsBeforeIdle = totalCalls();
  const bytesBeforeIdle = totalBytes();
  await sleep(idleMs);
  const idleCalls = totalCalls() - callsBeforeIdle;
  const idleBytes = totalBytes() - bytesBeforeIdle;
  const callsBeforeChange = totalCalls();
  const started = performance.now();
  const change = await applyDocument(kv, syntheticDocument(3, 3, 1));
  if (change.isErr()) throw change.error;
  while (entries.some((e) => e.fleet.revision < 2)) await sleep(2);
  const fanOutMs = performance.now() - started;
  await sleep(200);
  const callsPerChange =
    totalCalls() - callsBeforeChange - (idleCalls / idleMs) * (performance.now() - started);
  await Promise.all(entries.map((e) => e.stop()));
  members.stop();
  await platform.stop();
  return {
    entries: n,
    idleCallsPerEntryPerSecond: (idleCalls * 1000) / idleMs / n,
    idleBytesPerEntryPerSecond: (idleBytes * 1000) / idleMs / n,
    fanOutMs,
    callsPerChange,
    heapMbPerEntry,
  };
};
