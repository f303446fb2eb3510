/** How an instance's reports of crashes reach the store, whatever the store does meanwhile. */
import { errAsync, okAsync } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { CrashReport } from '@cardamomladder/types';
import { callerDigest, requestDigest, targetId, targetRun } from '@cardamomladder/types';
import { CrashReports, REPORT_KEPT_MS, isCovered } from '..';
import { FIRST_EPOCH } from '../__fixtures__/follower';

const crashOf = (run: number, ...requests: string[]) => ({
  run: targetRun(targetId(`t-${run}`), run),
  requests: requests.map((name) => ({
    request: requestDigest(name),
    caller: callerDigest('c'),
  })),
});

const PLACE = { epoch: FIRST_EPOCH, revision: 3 };

let away: boolean;
let written: [string, CrashReport][];
let removed: string[][];
let filed: Map<string, CrashReport>;
let inStore: Set<string>;
let old: string[];
let reports: CrashReports;

beforeEach(() => {
  vi.useFakeTimers();
  away = false;
  written = [];
  removed = [];
  filed = new Map();
  inStore = new Set();
  old = [];
  let ids = 0;
  reports = new CrashReports({
    store: {
      fileReport: (id, report) => {
        if (away) return errAsync({ kind: 'unavailable', message: 'away' });
        written.push([id, report]);
        inStore.add(`crashes/${id}`);
        return okAsync(undefined);
      },
      reportKey: (id) => `crashes/${id}`,
      reportId: (key) => key.replace('crashes/', ''),
      removeReports: (keys) => {
        removed.push([...keys]);
        return okAsync(undefined);
      },
    },
    book: {
      file: (key, _place, report) => filed.set(key, report),
      all: () => [...filed].map(([key, report]) => ({ key, report, place: PLACE })),
      knows: (key) => filed.has(key),
      drop: (key) => filed.delete(key),
      olderThan: (ms) => (ms === REPORT_KEPT_MS ? old : []),
    },
    fleetSize: () => 100,
    nextId: () => {
      ids += 1;
      return `report-${ids}`;
    },
    logName: 'process-1',
    random: () => 0.5,
    epoch: () => FIRST_EPOCH,
    now: () => Date.now(),
    log: () => {},
  });
});
afterEach(() => {
  reports.stop();
  vi.useRealTimers();
});

describe('a report of crashes', () => {
  it('counts here at once, and is written once with all that was seen together', async () => {
    reports.crashed(crashOf(1, 'x', 'a'));
    reports.crashed(crashOf(2, 'b'));
    reports.crashed(crashOf(1, 'c'));
    reports.answered({ request: requestDigest('d') });
    expect(filed.get('crashes/report-1')).toMatchInlineSnapshot(`
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
    expect(written).toEqual([['report-1', filed.get('crashes/report-1')]]);
  });

  it('waits for its turn in a large fleet, so that all together leave the store room', async () => {
    // Symptom: registrations fail by the dozen. Sequence: targets crash without
    // end, each of many instances reports each crash at once. Cause: reports
    // alone make more writes than the store takes.
    for (let i = 0; i < 20; i += 1) {
      reports.crashed(crashOf(i, 'x'));
      await vi.advanceTimersByTimeAsync(100);
    }
    // One instance of 100 may write twice a second.
    expect(written.length).toBeLessThanOrEqual(5);
    await vi.advanceTimersByTimeAsync(1000);
    expect(written.flatMap(([, report]) => report.crashes)).toHaveLength(20);
  });

  it('is written once the store is back, under the key it had', async () => {
    // Symptom: a request that crashed targets during an outage crashes three
    // more for each instance after it. Sequence: the store is away while an
    // instance sees the crashes. Cause: a failed write was given up.
    away = true;
    reports.crashed(crashOf(1, 'x'));
    await vi.advanceTimersByTimeAsync(20_000);
    expect(written).toEqual([]);
    expect(reports.after(undefined).reports.map(({ id }) => id)).toEqual(['report-1']);
    expect(isCovered(reports.mark, undefined)).toBe(false);
    away = false;
    await vi.advanceTimersByTimeAsync(3100);
    expect(written.map(([id]) => id)).toEqual(['report-1']);
    expect(reports.after(undefined).reports).toEqual([]);
    // Nothing is left for peers, so none is asked for an exchange.
    expect(isCovered(reports.mark, undefined)).toBe(true);
  });

  it('is removed when it is old, here as well', async () => {
    reports.crashed(crashOf(1, 'x'));
    await vi.advanceTimersByTimeAsync(1000);
    old = ['crashes/report-1'];
    await vi.advanceTimersByTimeAsync(120_000);
    expect(removed[0]).toEqual(['crashes/report-1']);
    expect([...filed.keys()]).toEqual([]);
  });

  // Guards against reports that the store has lost with its return from an older copy being known to no later process.
  it('is filed again, with the place it had, where the store came back without it', async () => {
    reports.crashed(crashOf(1, 'x'));
    await vi.advanceTimersByTimeAsync(1000);
    const [, report] = written[0];
    inStore.clear();
    reports.restored((key) => inStore.has(key), []);
    await vi.advanceTimersByTimeAsync(500);
    expect(written.slice(1)).toEqual([['report-1', { ...report, place: PLACE }]]);
  });

  // Guards against each instance of a fleet filing what the one that saw it files.
  it('of another instance is filed again only if that one does not', async () => {
    filed.set('crashes/other-1', { crashes: [crashOf(1, 'x')], answered: [] });
    filed.set('crashes/other-2', { crashes: [crashOf(2, 'x')], answered: [] });
    reports.restored((key) => inStore.has(key), []);
    await vi.advanceTimersByTimeAsync(300);
    expect(written).toEqual([]);
    inStore.add('crashes/other-1');
    await vi.advanceTimersByTimeAsync(5000);
    expect(written.map(([id]) => id)).toEqual(['other-2']);
  });

  // Guards against a report that this instance removed as old counting for its whole time again.
  it('is removed again where the store came back with it', async () => {
    reports.crashed(crashOf(1, 'x'));
    await vi.advanceTimersByTimeAsync(1000);
    old = ['crashes/report-1'];
    await vi.advanceTimersByTimeAsync(120_000);
    old = [];
    removed = [];
    reports.restored((key) => inStore.has(key), ['crashes/report-1', 'crashes/other']);
    await vi.advanceTimersByTimeAsync(500);
    expect(removed).toEqual([['crashes/report-1']]);
  });
});
