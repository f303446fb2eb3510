import fc from 'fast-check';
import type { ClaimableSlot, SlotClaim } from '@cardamomladder/types';
import { describe, expect, it } from 'vitest';
import { CLAIM_VALID_MS, NOTE_VALID_MS, RetryClaims } from '../retryClaims';

const BOUND = { ratio: 0.2, extra: 56, windowMs: 10_000 };
const UNIX = 1e12;

interface GrantedRepeats {
  repeats: number;
  from: number;
  until: number;
}

/** A store whose answers may be lost; a claim is written all the same. */
class LossyStore {
  readonly claims = new Map<string, SlotClaim>();

  private revision = 0;

  claim(slots: readonly ClaimableSlot[], at: number): number | undefined {
    const isCurrent = ({ slot, revision }: ClaimableSlot) =>
      (this.claims.get(slot)?.revision ?? 0) === revision;
    if (!slots.every(isCurrent)) return undefined;
    this.revision += 1;
    const { revision } = this;
    slots.forEach(({ slot }) => this.claims.set(slot, { slot, revision, claimedAt: UNIX + at }));
    return revision;
  }
}

/** Lets an instance take one step; returns what it was granted. */
const step = (
  claims: RetryClaims,
  store: LossyStore,
  now: number,
  isLost: boolean,
): GrantedRepeats | undefined => {
  const next = claims.next({ count: 30, earlier: false }, now);
  if (!next) return undefined;
  if (next.kind === 'read') {
    claims.recordRead([...store.claims.values()], { monotonic: now, unix: UNIX + now });
    return undefined;
  }
  const revision = store.claim(next.slots, now);
  if (isLost) claims.recordUnavailable(now);
  else if (revision === undefined) claims.recordConflict(now);
  else {
    claims.recordClaimed(next.slots, revision, now);
    const repeats = next.slots.length * claims.repeatsPerSlot;
    return { repeats, from: now, until: now + CLAIM_VALID_MS };
  }
  return undefined;
};

describe('claims of the repeats that all instances share', () => {
  it('grant no more than the fixed number in any window, through kills and lost answers', () => {
    // Guards against a supply that is full again for a new process, or counted twice.
    const event = fc.record({
      instance: fc.integer({ min: 0, max: 4 }),
      afterMs: fc.integer({ min: 1, max: 900 }),
      killed: fc.boolean(),
      lost: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(event, { minLength: 50, maxLength: 300 }), (events) => {
        const store = new LossyStore();
        const start = () =>
          new RetryClaims(
            BOUND,
            () => 0.3,
            () => 5,
            'note-i',
            0,
          );
        const instances = Array.from({ length: 5 }, start);
        const granted: GrantedRepeats[] = [];
        let now = 0;
        events.forEach(({ instance, afterMs, killed, lost }) => {
          now += afterMs;
          if (killed) instances[instance] = start();
          const result = step(instances[instance], store, now, lost);
          if (result) granted.push(result);
        });
        granted.forEach(({ until }) => {
          const spendable = granted.filter(
            (each) => each.until >= until && each.from <= until + BOUND.windowMs,
          );
          const sum = spendable.reduce((total, { repeats }) => total + repeats, 0);
          expect(sum).toBeLessThanOrEqual(BOUND.extra);
        });
      }),
    );
  });

  it('are had at once by a process that starts when nobody has claimed lately', () => {
    // Guards against a restart that costs repeats which the bound allows.
    const store = new LossyStore();
    store.claim(
      ['0', '1', '2', '3'].map((slot) => ({ slot, revision: 0 })),
      -120_000,
    );
    const claims = new RetryClaims(
      BOUND,
      () => 0,
      () => 1,
      'note-i',
      0,
    );
    step(claims, store, 0, false);
    const granted = Array.from(
      { length: 9 },
      (_, i) => step(claims, store, i, false)?.repeats ?? 0,
    );
    expect(granted.reduce((a, b) => a + b)).toBeGreaterThan(0.9 * BOUND.extra);
  });

  it('leave earned repeats to a new life only when those of its earlier life lie a window back', () => {
    // Guards against a process that spends a window's worth again after a kill.
    const store = new LossyStore();
    const start = (now: number) =>
      new RetryClaims(
        BOUND,
        () => 0,
        () => 1,
        'note-i',
        now,
      );
    const read = (claims: RetryClaims, now: number) => {
      claims.recordRead([...store.claims.values()], { monotonic: now, unix: UNIX + now });
      return claims.earnedFrom;
    };
    expect(start(0).earnedFrom).toBe(BOUND.windowMs + NOTE_VALID_MS);
    expect(read(start(0), 5)).toBe(5);
    store.claim([{ slot: 'note-i', revision: 0 }], 1000);
    store.claim([{ slot: 'note-other', revision: 0 }], 3000);
    expect(read(start(4000), 4005)).toBe(1000 + BOUND.windowMs + NOTE_VALID_MS);
    expect(read(start(60_000), 60_005)).toBe(60_005);
  });

  it('are paused while the store does not answer, for longer each time', () => {
    // Guards against callers that wait for the store at every retry.
    const claims = new RetryClaims(
      BOUND,
      () => 0,
      () => 1,
      'note-i',
      0,
    );
    const asked = Array.from({ length: 200 }, (_, i) => i * 100).filter((now) => {
      if (!claims.next({ count: 1, earlier: false }, now)) return false;
      claims.recordUnavailable(now);
      return true;
    });
    expect(asked).toMatchInlineSnapshot(`
      [
        0,
        1000,
        3000,
        7000,
        12000,
        17000,
      ]
    `);
  });
});
