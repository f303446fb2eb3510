/** How an instance's reports of crashes reach the store, whatever the store does meanwhile. */
import { errAsync, okAsync } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { CrashReport } from '@cardamomladder/types';
import { callerDigest, requestDigest, targetId, targetRun } from '@cardamomladder/types';
import { CrashReports, REPORT_KEPT_MS, isCovered } from '..';

const crashOf = (run: number, ...requests: string[]) => ({
  run: targetRun(targetId(`t-${run}`), run),
  requests: requests.map((name) => ({
    request: requestDigest(name),
    caller: callerDigest('c'),
  })),
});

let away: boolean;
let written: [string, CrashReport][];
let removed: string[][];
let filed: Map<string, CrashReport>;
let old: string[];
let reports: CrashReports;

beforeEach(() => {
  vi.useFakeTimers();
  away = false;
  written = [];
  removed = [];
  filed = new Map();
  old = [];
  let ids = 0;
  reports = new CrashReports({
    store: {
      fileReport: (id, report) => {
        if (away) return errAsync({ kind: 'unavailable', message: 'away' });
        written.push([id, report]);
        return okAsync(undefined);
      },
      reportKey: (id) => `crashes/${id}`,
      removeReports: (keys) => {
        removed.push([...keys]);
        return okAsync(undefined);
      },
    },
    book: {
      file: (key, _revision, report) => filed.set(key, report),
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
});
