/** How an instance's crash reports reach the store, including after outages and restores. */
import { errAsync, okAsync } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { CrashReport } from '@cardamomladder/types';
import { callerDigest, requestDigest, targetId, targetRun } from '@cardamomladder/types';
import { CrashReports, REPORT_RETENTION_MS, hasAllReports } from '..';
import { INITIAL_EPOCH } from '../__fixtures__/follower';

const crashOf = (run: number, ...requests: string[]) => ({
  run: targetRun(targetId(`t-${run}`), run),
  requests: requests.map((name) => ({
    request: requestDigest(name),
    caller: callerDigest('c'),
  })),
});

const PLACE = { epoch: INITIAL_EPOCH, revision: 3 };

let isStoreUnavailable: boolean;
let written: [string, CrashReport][];
let removed: string[][];
let indexed: Map<string, CrashReport>;
let storedKeys: Set<string>;
let expiredKeys: string[];
let reports: CrashReports;

beforeEach(() => {
  vi.useFakeTimers();
  isStoreUnavailable = false;
  written = [];
  removed = [];
  indexed = new Map();
  storedKeys = new Set();
  expiredKeys = [];
  let ids = 0;
  reports = new CrashReports({
    store: {
      fileReport: (id, report) => {
        if (isStoreUnavailable) return errAsync({ kind: 'unavailable', message: 'away' });
        written.push([id, report]);
        storedKeys.add(`crashes/${id}`);
        return okAsync(undefined);
      },
      reportKey: (id) => `crashes/${id}`,
      reportId: (key) => key.replace('crashes/', ''),
      removeReports: (keys) => {
        removed.push([...keys]);
        return okAsync(undefined);
      },
    },
    index: {
      add: (key, _place, report) => indexed.set(key, report),
      all: () => [...indexed].map(([key, report]) => ({ key, report, place: PLACE })),
      has: (key) => indexed.has(key),
      remove: (key) => indexed.delete(key),
      olderThan: (ms) => (ms === REPORT_RETENTION_MS ? expiredKeys : []),
    },
    fleetSize: () => 100,
    nextId: () => {
      ids += 1;
      return `report-${ids}`;
    },
    logName: 'process-1',
    random: () => 0.5,
    epoch: () => INITIAL_EPOCH,
    now: () => Date.now(),
    log: () => {},
  });
});
afterEach(() => {
  reports.stop();
  vi.useRealTimers();
});

describe('a crash report', () => {
  it('takes effect locally at once, and is written once with all batched observations', async () => {
    reports.addCrash(crashOf(1, 'x', 'a'));
    reports.addCrash(crashOf(2, 'b'));
    reports.addCrash(crashOf(1, 'c'));
    reports.answered({ request: requestDigest('d') });
    expect(indexed.get('crashes/report-1')).toMatchInlineSnapshot(`
      {
        "answered": [
          {
            "request": "d",
          },
        ],
        "crashes": [
          {
            "requests": [
              {
                "caller": "c",
                "request": "x",
              },
              {
                "caller": "c",
                "request": "a",
              },
              {
                "caller": "c",
                "request": "c",
              },
            ],
            "run": "t-1@1",
          },
          {
            "requests": [
              {
                "caller": "c",
                "request": "b",
              },
            ],
            "run": "t-2@2",
          },
        ],
      }
    `);
    expect(written).toEqual([]);
    await vi.advanceTimersByTimeAsync(200);
    expect(written).toEqual([['report-1', indexed.get('crashes/report-1')]]);
  });

  it('is rate-limited in a large fleet, to leave store capacity for other writes', async () => {
    // Guards against failing registrations: under continuous crashes, many
    // instances that each report every crash at once exceed the store's write
    // rate with reports alone.
    for (let i = 0; i < 20; i += 1) {
      reports.addCrash(crashOf(i, 'x'));
      await vi.advanceTimersByTimeAsync(100);
    }
    // One instance of 100 may write twice a second.
    expect(written.length).toBeLessThanOrEqual(5);
    await vi.advanceTimersByTimeAsync(1000);
    expect(written.flatMap(([, report]) => report.crashes)).toHaveLength(20);
  });

  it('is written under its original key once the store is available again', async () => {
    // Guards against a request that crashed targets during an outage crashing three
    // more per instance afterwards: failed writes used to be abandoned if the
    // store was unavailable when the crashes were observed.
    isStoreUnavailable = true;
    reports.addCrash(crashOf(1, 'x'));
    await vi.advanceTimersByTimeAsync(20_000);
    expect(written).toEqual([]);
    expect(reports.after(undefined).reports.map(({ id }) => id)).toEqual(['report-1']);
    expect(hasAllReports(reports.mark, undefined)).toBe(false);
    isStoreUnavailable = false;
    await vi.advanceTimersByTimeAsync(3100);
    expect(written.map(([id]) => id)).toEqual(['report-1']);
    expect(reports.after(undefined).reports).toEqual([]);
    // No report is left to forward, so no exchange with peers is requested.
    expect(hasAllReports(reports.mark, undefined)).toBe(true);
  });

  it('is removed from the store and locally when it has expired', async () => {
    reports.addCrash(crashOf(1, 'x'));
    await vi.advanceTimersByTimeAsync(1000);
    expiredKeys = ['crashes/report-1'];
    await vi.advanceTimersByTimeAsync(120_000);
    expect(removed[0]).toEqual(['crashes/report-1']);
    expect([...indexed.keys()]).toEqual([]);
  });

  // Guards against later processes not knowing reports that were lost when the store was restored from an older copy.
  it('is written again with its original position if the restored store lacks it', async () => {
    reports.addCrash(crashOf(1, 'x'));
    await vi.advanceTimersByTimeAsync(1000);
    const [, report] = written[0];
    storedKeys.clear();
    reports.restored((key) => storedKeys.has(key), []);
    await vi.advanceTimersByTimeAsync(500);
    expect(written.slice(1)).toEqual([['report-1', { ...report, place: PLACE }]]);
  });

  // Guards against every instance of a fleet writing a report that its author also writes.
  it('of another instance is written again only if its author does not write it', async () => {
    indexed.set('crashes/other-1', { crashes: [crashOf(1, 'x')], answered: [] });
    indexed.set('crashes/other-2', { crashes: [crashOf(2, 'x')], answered: [] });
    reports.restored((key) => storedKeys.has(key), []);
    await vi.advanceTimersByTimeAsync(300);
    expect(written).toEqual([]);
    storedKeys.add('crashes/other-1');
    await vi.advanceTimersByTimeAsync(5000);
    expect(written.map(([id]) => id)).toEqual(['other-2']);
  });

  // Guards against an expired report that this instance removed taking effect again for the whole retention period.
  it('is removed again if it reappears in the restored store', async () => {
    reports.addCrash(crashOf(1, 'x'));
    await vi.advanceTimersByTimeAsync(1000);
    expiredKeys = ['crashes/report-1'];
    await vi.advanceTimersByTimeAsync(120_000);
    expiredKeys = [];
    removed = [];
    reports.restored((key) => storedKeys.has(key), ['crashes/report-1', 'crashes/other']);
    await vi.advanceTimersByTimeAsync(500);
    expect(removed).toEqual([['crashes/report-1']]);
  });
});
