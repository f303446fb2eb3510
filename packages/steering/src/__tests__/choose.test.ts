import { describe, expect, it } from 'vitest';
import type { ServiceSpec } from '@cardamomladder/document';
import { targetId } from '@cardamomladder/types';
import { targetView } from '../__fixtures__/targets';
import { ServiceSteering } from '../service';

const spec: ServiceSpec = {
  name: 'book',
  idempotent: false,
  deadlineMs: 1000,
  maxAttempts: 3,
  maxShiftPerMinute: 0.2,
  warmupSeconds: 0,
  shares: { north: 1 },
};

describe('choose', () => {
  it('serves at once when targets arrive between two ticks', () => {
    // Symptom: the first bookings after start were answered "not run: no
    // target is live" although the member list had the targets.
    // Sequence: the entry ticks while it knows no target (empty split),
    // the member list then brings targets, a request arrives before the
    // next tick. Cause: choose() picked a region from the empty split.
    const steering = new ServiceSteering(spec, new Map());
    steering.tick(1000);
    steering.targets.set(targetId('book-1'), {
      ...targetView('book-1', 'north', 4),
      firstSeen: 1000,
    });
    const choice = steering.choose(1001, () => 0.5);
    expect(choice.kind === 'target' && choice.target.id).toBe('book-1');
  });
});

describe('choose after a region loses its last target', () => {
  it('sends the request to a region that still has one', () => {
    // Symptom: lookups answered "not run" for a second after one target
    // started to drain. Sequence: the only target of region north says it
    // is leaving; until the next tick the split still gives north half the
    // traffic. Cause: choose() picked north and found no admissible target.
    const steering = new ServiceSteering({ ...spec, shares: { north: 1, south: 1 } }, new Map());
    ['north', 'south'].forEach((region) => {
      steering.targets.set(targetId(`lookup-${region}`), targetView(`lookup-${region}`, region, 4));
    });
    steering.tick(1000);
    const north = steering.targets.get(targetId('lookup-north'));
    if (north) north.leaving = true;
    const picks = [0.1, 0.4, 0.6, 0.9].map((roll) => {
      const choice = steering.choose(1001, () => roll);
      return choice.kind === 'target' ? choice.target.id : choice.reason;
    });
    expect(picks).toEqual(['lookup-south', 'lookup-south', 'lookup-south', 'lookup-south']);
  });
});
