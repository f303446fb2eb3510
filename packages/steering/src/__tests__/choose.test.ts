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
    // A tick without any known target leaves an empty split. If targets are
    // added and a request arrives before the next tick, choose() must not pick
    // a region from that split, which rejected requests with "no target is
    // live" just after start.
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
    // When the only target of region north starts to leave, the split still
    // gives north half of the traffic until the next tick. choose() must not
    // pick north, which rejected requests with "not run" for up to a second.
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
