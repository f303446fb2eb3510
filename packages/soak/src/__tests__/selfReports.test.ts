/** What a soak finds where instances don't heed what targets say of themselves. */
import { describe, expect, it } from 'vitest';
import { Disturbances } from '../disturbances';
import type { Asked } from '../promises';
import { SelfReports } from '../selfReports';

const TARGET = 't-1';
const asked = (id: string, at = 0): Asked => ({
  id,
  kind: 'idempotent',
  path: '/look/1',
  body: '',
  instance: 'i-1',
  incarnation: 7,
  at,
  routed: true,
  version: 0,
});
const setUp = () => {
  const found: string[] = [];
  const disturbances = new Disturbances();
  const reports = new SelfReports(disturbances, (promise, subject) =>
    found.push(`${promise} ${subject}`),
  );
  return { found, disturbances, reports };
};

describe('a target that says it leaves', () => {
  const play = (askedAt: number, disturbed = false) => {
    const { found, disturbances, reports } = setUp();
    if (disturbed) disturbances.begin('i-1', 1000)(1500);
    reports.hearLeaving(TARGET, asked('told'), 100);
    reports.hearLeaving(TARGET, asked('told again'), 3000);
    reports.arrive(TARGET, asked('r', askedAt), askedAt + 10);
    reports.check();
    return found;
  };

  it('must not get a request that was sent over 2.5 s after its instance was told', () => {
    expect(play(2550)).toEqual([]);
    expect(play(2650)).toEqual(['target-leaving r']);
    expect(play(2650, true)).toEqual([]);
  });
});

describe('a target that asks for a pause', () => {
  const play = (requests: number, disturbed?: string) => {
    const { found, disturbances, reports } = setUp();
    if (disturbed) disturbances.begin(disturbed, 1000)(1500);
    reports.askForPause(TARGET, asked('refused'), 100, 3000);
    for (let i = 0; i < requests; i += 1) reports.arrive(TARGET, asked(`r-${i}`), 700 + i);
    reports.arrive(TARGET, asked('under way'), 500);
    reports.arrive(TARGET, asked('after'), 3200);
    reports.check();
    return found;
  };

  it('must not get more than two requests of the same process in it', () => {
    expect(play(2)).toEqual([]);
    expect(play(3)).toEqual([`target-pause ${TARGET}`]);
    expect([...play(3, 'i-1'), ...play(3, TARGET)]).toEqual([]);
  });
});

describe('a limit that a target names', () => {
  /** So many requests a second for eight seconds, told of a limit of two from 100 ms on. */
  const play = (perSecond: number, { reports }: ReturnType<typeof setUp>) => {
    const end = reports.nameLimit(TARGET, 2, 0);
    reports.hearLimit(TARGET, asked('told'), 100);
    for (let at = 200; at < 8000; at += 1000 / perSecond)
      reports.arrive(TARGET, asked(`r-${at}`), at);
    end(8000);
    reports.check();
  };

  it('is broken by more than half beyond it, and five', () => {
    const over = setUp();
    play(10, over);
    expect(over.found).toEqual([`target-limit ${TARGET}`]);
    const within = setUp();
    play(4, within);
    expect(within.found).toEqual([]);
  });

  it('binds no instance that was disturbed since it was told', () => {
    const disturbed = setUp();
    disturbed.disturbances.begin('i-1', 2000)(2500);
    play(10, disturbed);
    expect(disturbed.found).toEqual([]);
  });
});
