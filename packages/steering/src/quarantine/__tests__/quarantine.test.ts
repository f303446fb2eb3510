/** The quarantine that results from the reports of several instances. */
import { describe, expect, it } from 'vitest';
import type { CrashReport, StorePosition } from '@cardamomladder/types';
import {
  callerDigest,
  requestDigest,
  storeEpoch,
  targetId,
  targetRun,
} from '@cardamomladder/types';
import { RecentAnswers } from '../recentAnswers';
import { Quarantine } from '../quarantine';

const asked = (name: string, caller = 'c') => ({
  request: requestDigest(name),
  caller: callerDigest(caller),
});
const CRASHING = asked('crashing');
const at = (revision: number, epoch = 0): StorePosition => ({ epoch: storeEpoch(epoch), revision });
const report = (runs: number[], requests = [CRASHING]): CrashReport => ({
  crashes: runs.map((run) => ({ run: targetRun(targetId(`t-${run}`), run), requests })),
  answered: [],
});

describe('the quarantine', () => {
  it('combines the reports of several instances, counting each crash once', () => {
    const quarantine = new Quarantine(() => 0);
    quarantine.add('north', at(10), report([1, 2]));
    // The same crash, reported by another instance with other requests in flight.
    quarantine.add('south', at(11), report([2], [asked('other')]));
    quarantine.add('south-too', at(12), report([2]));
    expect(quarantine.blocks(CRASHING)).toBe(false);
    expect(quarantine.crashCount(CRASHING)).toBe(2);
    quarantine.add('east', at(13), report([3]));
    expect(quarantine.blocks(CRASHING)).toBe(true);
    expect(quarantine.blocks(asked('other'))).toBe(false);
    // Nothing indicates yet that it does harm for another caller.
    expect(quarantine.blocks(asked('crashing', 'd'))).toBe(false);
  });

  it('does not blame earlier crashes on a request that was answered since, in any order of the reports', () => {
    const reports: [string, StorePosition, CrashReport][] = [
      ['north', at(10), report([1, 2])],
      ['south', at(11), { crashes: [], answered: [CRASHING] }],
      ['east', at(12), report([3])],
    ];
    [reports, [...reports].reverse()].forEach((order) => {
      const quarantine = new Quarantine(() => 0);
      order.forEach((each) => quarantine.add(...each));
      expect(quarantine.blocks(CRASHING)).toBe(false);
      expect(quarantine.crashCount(CRASHING)).toBe(1);
    });
  });

  // Guards against an answer from before the store was restored counting as later than crashes after it.
  it('orders reports of a later epoch after earlier ones, whatever their revisions', () => {
    const quarantine = new Quarantine(() => 0);
    quarantine.add('south', at(50), { crashes: [], answered: [CRASHING] });
    quarantine.add('north', at(20, 1), report([1, 2, 3]));
    expect(quarantine.blocks(CRASHING)).toBe(true);
  });

  // Guards against lost reports being ordered by when they were filed again instead of by their original position.
  it('keeps the order of reports that were filed again', () => {
    const quarantine = new Quarantine(() => 0);
    const again = { crashes: [], answered: [CRASHING], place: at(50) };
    quarantine.add('south', at(20, 1), again);
    quarantine.add('north', at(21, 1), { ...report([1, 2, 3]), place: at(40) });
    expect(quarantine.blocks(CRASHING)).toBe(false);
  });

  it('does not block requests that many callers make and targets keep answering', () => {
    // Guards against rejecting, for minutes, a request that many callers make: three
    // targets lose power at once while each works on it for some caller, and only
    // the crashes are counted, not the answers of other targets.
    const quarantine = new Quarantine(() => 0);
    const popular = requestDigest('popular');
    ['c', 'd', 'e'].forEach((caller, i) =>
      quarantine.add(`north-${i}`, at(10 + i), {
        ...report([i], [asked('popular', caller)]),
        answered: [{ request: popular }],
      }),
    );
    expect(quarantine.blocks(asked('popular', 'f'))).toBe(false);
  });

  it('blocks a request that crashes targets for one caller while it is answered for others', () => {
    const quarantine = new Quarantine(() => 0);
    quarantine.add('north', at(10), {
      ...report([1, 2, 3]),
      answered: [{ request: CRASHING.request }],
    });
    expect(quarantine.blocks(CRASHING)).toBe(true);
    expect(quarantine.blocks(asked('crashing', 'd'))).toBe(false);
  });

  it('forgets a removed report, and is empty once all are removed', () => {
    let now = 0;
    const quarantine = new Quarantine(() => now);
    quarantine.add('north', at(10), report([1, 2, 3]));
    now = 500;
    quarantine.add('north', at(12), report([1, 2, 3]));
    now = 1000;
    expect(quarantine.olderThan(1001)).toEqual([]);
    expect(quarantine.olderThan(1000)).toEqual(['north']);
    quarantine.remove('north');
    expect(quarantine.isEmpty).toBe(true);
  });
});

describe('recent answers', () => {
  it('expire after ten seconds', () => {
    let now = 0;
    const recentAnswers = new RecentAnswers(() => now);
    recentAnswers.add(CRASHING.request);
    now = 10_000;
    expect(recentAnswers.has(CRASHING.request)).toBe(true);
    now = 10_001;
    expect(recentAnswers.has(CRASHING.request)).toBe(false);
  });
});
