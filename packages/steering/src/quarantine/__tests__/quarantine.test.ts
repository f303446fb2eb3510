/** What follows from the reports of several instances. */
import { describe, expect, it } from 'vitest';
import type { CrashReport } from '@cardamomladder/types';
import { requestDigest, targetId, targetRun } from '@cardamomladder/types';
import { Quarantine } from '../quarantine';

const CRASHING = requestDigest('crashing');
const report = (runs: number[], requests: string[] = [CRASHING]): CrashReport => ({
  crashes: runs.map((run) => ({
    run: targetRun(targetId(`t-${run}`), run),
    requests: requests.map(requestDigest),
  })),
  answered: [],
});
const answered = (...requests: string[]): CrashReport => ({
  crashes: [],
  answered: requests.map(requestDigest),
});

describe('the quarantine', () => {
  it('puts together what different instances saw, each crash once', () => {
    const quarantine = new Quarantine(() => 0);
    quarantine.file('north', 10, report([1, 2]));
    // The same crash, as another instance saw it that had other requests there.
    quarantine.file('south', 11, report([2], ['other']));
    quarantine.file('south-too', 12, report([2]));
    expect(quarantine.holds(CRASHING)).toBe(false);
    expect(quarantine.crashesUnder(CRASHING)).toBe(2);
    quarantine.file('east', 13, report([3]));
    expect([...quarantine.held]).toEqual([CRASHING]);
  });

  it('takes an answered request for no cause of the crashes before, whatever is heard first', () => {
    const files: [string, number, CrashReport][] = [
      ['north', 10, report([1, 2])],
      ['south', 11, answered(CRASHING)],
      ['east', 12, report([3])],
    ];
    [files, [...files].reverse()].forEach((order) => {
      const quarantine = new Quarantine(() => 0);
      order.forEach((each) => quarantine.file(...each));
      expect(quarantine.holds(CRASHING)).toBe(false);
      expect(quarantine.crashesUnder(CRASHING)).toBe(1);
    });
  });

  it('forgets what a dropped report said, and is idle once all are dropped', () => {
    let now = 0;
    const quarantine = new Quarantine(() => now);
    quarantine.file('north', 10, report([1, 2, 3]));
    now = 500;
    quarantine.file('north', 12, report([1, 2, 3]));
    now = 1000;
    expect(quarantine.olderThan(1001)).toEqual([]);
    expect(quarantine.olderThan(1000)).toEqual(['north']);
    quarantine.drop('north');
    expect(quarantine.idle).toBe(true);
  });
});
