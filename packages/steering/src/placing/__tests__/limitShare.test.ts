/** Limits that targets name, kept by instances that do not hear of each other. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { instanceId } from '@cardamomladder/types';
import { limitShare, sharersOf } from '../limitShare';
import { NamedLimit } from '../namedLimit';

const WINDOW_MS = 4000;
const STEP_MS = 5;
const LENGTH_MS = 30_000;
/** A limit binds this long after it was first named, ms. */
const HEARD_MS = 3000;
const tolerated = (perSecond: number) => perSecond * 4 * 1.5 + 5;
const idsOf = (size: number) => Array.from({ length: size }, (_, i) => instanceId(`i-${i}`));

const worstWindow = (times: readonly number[]): number => {
  let first = 0;
  return times.reduce((worst, at, i) => {
    while (at - times[first] > WINDOW_MS) first += 1;
    return Math.max(worst, i - first + 1);
  }, 0);
};

/** When requests reach a target with a limit; each instance is asked for one at its own times. */
const playLimit = (
  perSecond: number,
  size: number,
  isAsked: (instance: number, atMs: number) => boolean,
): number[] => {
  const ids = idsOf(size);
  const shares = ids.map((id) => limitShare('t-1', id, { ids, size }, perSecond));
  const limits = ids.map(() => new NamedLimit());
  limits.forEach((limit) => limit.hear({ perSecond, ran: true, sentAt: 0 }, 0));
  const sent: number[] = [];
  for (let at = 0; at < LENGTH_MS; at += STEP_MS)
    limits.forEach((limit, i) => {
      if (!isAsked(i, at) || limit.waitMs(shares[i], at) > 0) return;
      limit.take(at);
      if (at >= HEARD_MS) sent.push(at);
    });
  return sent;
};

describe('a limit that a target names', () => {
  it('holds for all instances together, however requests come, in fleets that all share it', () => {
    // Guards against shares that sum to more than is tolerated when idle instances are asked at once.
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 40, noNaN: true }),
        fc.integer({ min: 1, max: 60 }),
        fc.integer({ min: 1, max: 9000 }),
        fc.integer({ min: 0, max: 9000 }),
        (perSecond, most, onMs, offMs) => {
          const size = sharersOf(perSecond, most);
          const isAsked = (_: number, at: number) => at % (onMs + offMs) >= offMs;
          const sent = playLimit(perSecond, size, isAsked);
          expect(worstWindow(sent)).toBeLessThanOrEqual(tolerated(Math.max(perSecond, 0.1)));
        },
      ),
      { numRuns: 60 },
    );
  });

  it.each([
    [4.5, 9],
    [4.5, 59],
    [0.5, 59],
    [12, 195],
    [0, 195],
  ])(
    'of %d a second is used and kept by %d instances that are asked all the while',
    (limit, size) => {
      // Guards against a fleet that is larger than the limit and uses none of it, or many times as much.
      const sent = playLimit(limit, size, () => true);
      expect(worstWindow(sent)).toBeLessThanOrEqual(tolerated(limit));
      const usedPerSecond = sent.length / ((LENGTH_MS - HEARD_MS) / 1000);
      expect(usedPerSecond).toBeGreaterThanOrEqual(0.8 * limit);
    },
  );

  it('gives nothing to an instance that is not among those that share but a rare request', () => {
    const sharers = { ids: idsOf(9), size: 9 };
    expect(limitShare('t-1', instanceId('other'), sharers, 4.5).intervalMs).toBeGreaterThan(1000);
  });
});

describe('what is heard of a limit', () => {
  const heard = (limit: NamedLimit, perSecond: number | undefined, ran: boolean, sentAt: number) =>
    limit.hear({ perSecond, ran, sentAt }, sentAt + 100);

  it('lasts until a request that was sent later runs and its answer names none', () => {
    // Guards against a limit that is lifted by a refusal, or by an answer that was on its way when it was named.
    const limit = new NamedLimit();
    expect(heard(limit, 4, true, 1000)).toBe(true);
    expect(heard(limit, undefined, true, 1050)).toBe(false);
    expect(heard(limit, undefined, false, 5000)).toBe(false);
    expect(limit.perSecond).toBe(4);
    expect(heard(limit, 2, false, 5000)).toBe(true);
    expect(limit.perSecond).toBe(2);
    expect(heard(limit, undefined, true, 5200)).toBe(true);
    expect(limit.perSecond).toBeUndefined();
  });
});
