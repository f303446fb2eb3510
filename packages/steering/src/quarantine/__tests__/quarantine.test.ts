/** What follows from the reports of several instances. */
import { describe, expect, it } from 'vitest';
import type { CrashReport, StoreMoment } from '@cardamomladder/types';
import {
  callerDigest,
  requestDigest,
  storeEpoch,
  targetId,
  targetRun,
} from '@cardamomladder/types';
import { AnsweredLately } from '../answeredLately';
import { Quarantine } from '../quarantine';

const asked = (name: string, caller = 'c') => ({
  request: requestDigest(name),
  caller: callerDigest(caller),
});
const CRASHING = asked('crashing');
const at = (revision: number, epoch = 0): StoreMoment => ({ epoch: storeEpoch(epoch), revision });
const report = (runs: number[], requests = [CRASHING]): CrashReport => ({
  crashes: runs.map((run) => ({ run: targetRun(targetId(`t-${run}`), run), requests })),
  answered: [],
});

describe('the quarantine', () => {
  it('puts together what different instances saw, each crash once', () => {
    const quarantine = new Quarantine(() => 0);
    quarantine.file('north', at(10), report([1, 2]));
    // The same crash, as another instance saw it that had other requests there.
    quarantine.file('south', at(11), report([2], [asked('other')]));
    quarantine.file('south-too', at(12), report([2]));
    expect(quarantine.holds(CRASHING)).toBe(false);
    expect(quarantine.crashesUnder(CRASHING)).toBe(2);
    quarantine.file('east', at(13), report([3]));
    expect(quarantine.holds(CRASHING)).toBe(true);
    expect(quarantine.holds(asked('other'))).toBe(false);
    // No sign yet that it harms when another caller asks it.
    expect(quarantine.holds(asked('crashing', 'd'))).toBe(false);
  });

  it('takes an answered request for no cause of the crashes before, whatever is heard first', () => {
    const files: [string, StoreMoment, CrashReport][] = [
      ['north', at(10), report([1, 2])],
      ['south', at(11), { crashes: [], answered: [CRASHING] }],
      ['east', at(12), report([3])],
    ];
    [files, [...files].reverse()].forEach((order) => {
      const quarantine = new Quarantine(() => 0);
      order.forEach((each) => quarantine.file(...each));
      expect(quarantine.holds(CRASHING)).toBe(false);
      expect(quarantine.crashesUnder(CRASHING)).toBe(1);
    });
  });

  // Guards against an answer of before the store's return counting as later than the crashes after it.
  it('takes reports of a later epoch for later, whatever their revisions', () => {
    const quarantine = new Quarantine(() => 0);
    quarantine.file('south', at(50), { crashes: [], answered: [CRASHING] });
    quarantine.file('north', at(20, 1), report([1, 2, 3]));
    expect(quarantine.holds(CRASHING)).toBe(true);
  });

  // Guards against the order in which lost reports happen to be filed again counting as that of the events.
  it('keeps the order of reports that were filed again', () => {
    const quarantine = new Quarantine(() => 0);
    const again = { crashes: [], answered: [CRASHING], place: at(50) };
    quarantine.file('south', at(20, 1), again);
    quarantine.file('north', at(21, 1), { ...report([1, 2, 3]), place: at(40) });
    expect(quarantine.holds(CRASHING)).toBe(false);
  });

  it('leaves alone what many callers ask and targets answer all the while', () => {
    // Symptom: the list that all kiosks show is refused for minutes. Sequence:
    // three targets lose power at once, each was working on that list for some
    // kiosk. Cause: only the crashes were counted, not the answers elsewhere.
    const quarantine = new Quarantine(() => 0);
    const popular = requestDigest('popular');
    ['c', 'd', 'e'].forEach((caller, i) =>
      quarantine.file(`north-${i}`, at(10 + i), {
        ...report([i], [asked('popular', caller)]),
        answered: [{ request: popular }],
      }),
    );
    expect(quarantine.holds(asked('popular', 'f'))).toBe(false);
  });

  it('holds what crashes targets for one caller while it is answered to others', () => {
    const quarantine = new Quarantine(() => 0);
    quarantine.file('north', at(10), {
      ...report([1, 2, 3]),
      answered: [{ request: CRASHING.request }],
    });
    expect(quarantine.holds(CRASHING)).toBe(true);
    expect(quarantine.holds(asked('crashing', 'd'))).toBe(false);
  });

  it('forgets what a dropped report said, and is idle once all are dropped', () => {
    let now = 0;
    const quarantine = new Quarantine(() => now);
    quarantine.file('north', at(10), report([1, 2, 3]));
    now = 500;
    quarantine.file('north', at(12), report([1, 2, 3]));
    now = 1000;
    expect(quarantine.olderThan(1001)).toEqual([]);
    expect(quarantine.olderThan(1000)).toEqual(['north']);
    quarantine.drop('north');
    expect(quarantine.idle).toBe(true);
  });
});

describe('what was answered lately', () => {
  it('is remembered for some seconds', () => {
    let now = 0;
    const lately = new AnsweredLately(() => now);
    lately.note(CRASHING.request);
    now = 10_000;
    expect(lately.has(CRASHING.request)).toBe(true);
    now = 10_001;
    expect(lately.has(CRASHING.request)).toBe(false);
  });
});
