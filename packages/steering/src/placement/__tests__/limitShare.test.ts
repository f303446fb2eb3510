/** Limits that targets advertise, kept by instances that do not communicate. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { instanceId } from '@cardamomladder/types';
import { limitShare, sharerCount } from '../limitShare';
import { AdvertisedLimit } from '../advertisedLimit';

const WINDOW_MS = 4000;
const STEP_MS = 5;
const DURATION_MS = 30_000;
/** A limit is enforced from this time after it was first advertised, ms. */
const SETTLE_MS = 3000;
const tolerated = (perSecond: number) => perSecond * 4 * 1.5 + 5;
const idsOf = (size: number) => Array.from({ length: size }, (_, i) => instanceId(`i-${i}`));

const worstWindow = (times: readonly number[]): number => {
  let first = 0;
  return times.reduce((worst, at, i) => {
    while (at - times[first] > WINDOW_MS) first += 1;
    return Math.max(worst, i - first + 1);
  }, 0);
};

/**
 * Returns when requests reach a target with a limit. `hasRequest` tells when each
 * instance has a request to send.
 */
const simulateLimit = (
  perSecond: number,
  size: number,
  hasRequest: (instance: number, atMs: number) => boolean,
): number[] => {
  const ids = idsOf(size);
  const shares = ids.map((id) => limitShare('t-1', id, { ids, size }, perSecond));
  const limits = ids.map(() => new AdvertisedLimit());
  limits.forEach((limit) => limit.observe({ perSecond, ran: true, sentAt: 0 }, 0));
  const sent: number[] = [];
  for (let at = 0; at < DURATION_MS; at += STEP_MS)
    limits.forEach((limit, i) => {
      if (!hasRequest(i, at) || limit.waitMs(shares[i], at) > 0) return;
      limit.recordSend(at);
      if (at >= SETTLE_MS) sent.push(at);
    });
  return sent;
};

describe('an advertised limit', () => {
  it('holds for all instances together at any request pattern, if every instance has a share', () => {
    // Guards against shares that exceed the tolerance in total when idle instances get requests at once.
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 40, noNaN: true }),
        fc.integer({ min: 1, max: 60 }),
        fc.integer({ min: 1, max: 9000 }),
        fc.integer({ min: 0, max: 9000 }),
        (perSecond, maxSize, onMs, offMs) => {
          const size = sharerCount(perSecond, maxSize);
          const hasRequest = (_: number, at: number) => at % (onMs + offMs) >= offMs;
          const sent = simulateLimit(perSecond, size, hasRequest);
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
  ])('of %d per second is used and kept by %d instances with constant demand', (limit, size) => {
    // Guards against a fleet larger than the limit that uses none of it, or many times the limit.
    const sent = simulateLimit(limit, size, () => true);
    expect(worstWindow(sent)).toBeLessThanOrEqual(tolerated(limit));
    const usedPerSecond = sent.length / ((DURATION_MS - SETTLE_MS) / 1000);
    expect(usedPerSecond).toBeGreaterThanOrEqual(0.8 * limit);
  });

  it('allows an instance without a share only an occasional request', () => {
    const sharers = { ids: idsOf(9), size: 9 };
    expect(limitShare('t-1', instanceId('other'), sharers, 4.5).intervalMs).toBeGreaterThan(1000);
  });
});

describe('observing a limit', () => {
  const observe = (
    limit: AdvertisedLimit,
    perSecond: number | undefined,
    ran: boolean,
    sentAt: number,
  ) => limit.observe({ perSecond, ran, sentAt }, sentAt + 100);

  it('keeps the limit until a request that was sent later runs and its response advertises none', () => {
    // Guards against lifting a limit on a refusal, or on a response to a request sent before the limit was observed.
    const limit = new AdvertisedLimit();
    expect(observe(limit, 4, true, 1000)).toBe(true);
    expect(observe(limit, undefined, true, 1050)).toBe(false);
    expect(observe(limit, undefined, false, 5000)).toBe(false);
    expect(limit.perSecond).toBe(4);
    expect(observe(limit, 2, false, 5000)).toBe(true);
    expect(limit.perSecond).toBe(2);
    expect(observe(limit, undefined, true, 5200)).toBe(true);
    expect(limit.perSecond).toBeUndefined();
  });
});
