/** Tests how fast crash reports reach all instances while none of them reaches the store. */
import { okAsync } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { InstanceEntry, ReportCursor } from '@cardamomladder/fleet';
import { CrashReports } from '@cardamomladder/fleet';
import { Quarantine } from '@cardamomladder/steering';
import {
  callerDigest,
  instanceId,
  regionName,
  requestDigest,
  storeEpoch,
  targetId,
  targetRun,
} from '@cardamomladder/types';
import { selectPeers } from '../ask';
import { reportsRequest } from '../reportFormat';

/** Interval between two rounds of queries, ms. */
const ROUND_MS = 300;
/** Time within which a request must be quarantined everywhere after its third crash, ms. */
const PROPAGATION_DEADLINE_MS = 4000;
const REGIONS = ['north', 'south', 'east'].map(regionName);
const CRASHING = { request: requestDigest('crashing'), caller: callerDigest('caller') };

interface Member {
  self: InstanceEntry;
  quarantine: Quarantine;
  reports: CrashReports;
  /** By peer: the cursor up to which this instance has the peer's reports, and the reverse. */
  receivedCursors: Map<string, ReportCursor>;
  sentCursors: Map<string, ReportCursor>;
  asked: number;
}

const memberOf = (number: number): Member => {
  const now = () => Date.now();
  const quarantine = new Quarantine(now);
  let ids = 0;
  const reports = new CrashReports({
    // The store is unreachable: its calls never complete.
    store: {
      fileReport: () => okAsync(undefined).andThen(() => new Promise<never>(() => {}) as never),
      reportKey: (id) => `crashes/${id}`,
      reportId: (key) => key.replace('crashes/', ''),
      removeReports: () => okAsync(undefined),
    },
    index: quarantine,
    fleetSize: () => 1,
    nextId: () => {
      ids += 1;
      return `${number}-${ids}`;
    },
    logName: `process-${number}`,
    random: () => 0.5,
    epoch: () => storeEpoch(0),
    now,
    log: () => {},
  });
  const self = {
    id: instanceId(`i-${number}`),
    peerAddress: `i-${number}`,
    region: REGIONS[number % REGIONS.length],
  } as unknown as InstanceEntry;
  return {
    self,
    quarantine,
    reports,
    receivedCursors: new Map(),
    sentCursors: new Map(),
    asked: 0,
  };
};

const exchange = (asker: Member, peer: Member): void => {
  const name = peer.self.peerAddress;
  const own = asker.reports.after(asker.sentCursors.get(name));
  const theirs = peer.reports.after(asker.receivedCursors.get(name));
  if (own.reports.length === 0 && theirs.reports.length === 0) return;
  const request = reportsRequest.parse(JSON.parse(JSON.stringify({ reports: own.reports })));
  peer.reports.receive(request.reports, false);
  asker.reports.receive(theirs.reports, false);
  asker.sentCursors.set(name, own.mark);
  asker.receivedCursors.set(name, theirs.mark);
  Object.assign(asker, { asked: asker.asked + 1 });
};

/** Runs one round, in which each instance queries its two peers. */
const runRound = async (members: readonly Member[], round: number): Promise<void> => {
  const byName = new Map(members.map((member) => [member.self.peerAddress as string, member]));
  const entries = members.map(({ self }) => self);
  members.forEach((asker) =>
    selectPeers(entries, asker.self, [], round).forEach((address) =>
      exchange(asker, byName.get(address) as Member),
    ),
  );
  await vi.advanceTimersByTimeAsync(ROUND_MS);
};

const holds = ({ quarantine }: Member) => quarantine.blocks(CRASHING);

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

describe('crash reports among instances that cannot reach the store', () => {
  it.each([1, 9, 71, 195])('reach all %i instances within the allowed time', async (size) => {
    // Guards against a request that crashes three targets per instance while the
    // store is unreachable: it arrived at one instance after another, and the
    // reports of each were held back until the store returned.
    const members = Array.from({ length: size }, (_, number) => memberOf(number));
    const observers = [0, 1, 2].map((nth) => members[Math.floor((nth * size) / 3)]);
    observers.forEach(({ reports }, nth) =>
      reports.addCrash({ run: targetRun(targetId(`t-${nth}`), nth), requests: [CRASHING] }),
    );
    await vi.advanceTimersByTimeAsync(ROUND_MS);
    let rounds = 0;
    while (!members.every(holds) && rounds < 60) {
      await runRound(members, rounds);
      rounds += 1;
    }
    expect(rounds * ROUND_MS).toBeLessThanOrEqual(PROPAGATION_DEADLINE_MS);
    // Once all instances have the reports, only peers not queried before still exchange anything.
    const most = Math.max(...members.map(({ asked }) => asked));
    expect(most).toBeLessThanOrEqual(2 * rounds);
    members.forEach(({ reports }) => reports.stop());
  });

  it('are rejected if there are too many or a field is missing or invalid', () => {
    const report = { crashes: [], answered: [] };
    const named = (count: number) =>
      Array.from({ length: count }, (_, i) => ({ id: `r-${i}`, ageMs: 0, report }));
    expect(reportsRequest.safeParse({ reports: named(20) }).success).toBe(true);
    expect(reportsRequest.safeParse({ reports: named(21) }).success).toBe(false);
    expect(reportsRequest.safeParse({ reports: [{ id: 'r', ageMs: 0 }] }).success).toBe(false);
    expect(
      reportsRequest.safeParse({ reports: named(1).map((r) => ({ ...r, ageMs: -1 })) }).success,
    ).toBe(false);
  });
});
