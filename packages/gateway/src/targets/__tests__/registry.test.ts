/** What becomes of a target's record as its entry changes. */
import { describe, expect, it } from 'vitest';
import type { TargetEntry } from '@cardamomladder/fleet';
import { Beliefs } from '@cardamomladder/fleet';
import {
  failureDomainName,
  instanceId,
  objectKey,
  regionName,
  serviceName,
  socketAddress,
  targetId,
} from '@cardamomladder/types';
import { FleetMembers } from '../../lifecycle/fleetMembers';
import { NamedInstances } from '../../lifecycle/namedInstances';
import { TargetRegistry } from '../registry';
import { compareRuns } from '../runs';

const ID = targetId('t-1');
const entryOf = (changes: Partial<TargetEntry> = {}): TargetEntry => ({
  id: ID,
  service: serviceName('s'),
  address: socketAddress('10.0.0.1:80'),
  failureDomain: failureDomainName('north-a'),
  slots: 4,
  leaving: false,
  coldForMs: 0,
  writes: 5,
  ...changes,
});
const setUp = () => {
  const beliefs = new Beliefs();
  const now = () => 1000;
  const registry = new TargetRegistry({
    beliefs,
    fleet: new FleetMembers(beliefs, now),
    named: new NamedInstances(beliefs, now),
    ownRegion: regionName('north'),
    ownDomain: failureDomainName('north-a'),
    self: instanceId('i-1'),
    domains: { 'north-a': 'north' },
    coldOverage: 1.5,
    coldSlack: 5,
    now,
  });
  let revision = 0;
  const put = (entry: TargetEntry) => {
    revision += 1;
    beliefs.take({ key: `t/${entry.id}`, revision, fact: { kind: 'target', target: entry } });
  };
  const invalidate = () => {
    revision += 1;
    beliefs.take({ key: `t/${ID}`, revision, fact: { kind: 'invalid', problem: 'not JSON' } });
  };
  const remove = () => {
    revision += 1;
    beliefs.take({ key: `t/${ID}`, revision, removed: true });
  };
  return { registry, put, spoil: invalidate, remove };
};

describe('a target that starts again under its id', () => {
  it('is taken for a new one: nothing learned of its earlier run is held against it', () => {
    // Symptom: a target gets nothing for the rest of the day. Sequence: it
    // leaves or fails, crashes, and starts again under the id it had. Cause:
    // its record was kept, with its state of leaving, its failures and what
    // it was believed to remember.
    const { registry, put } = setUp();
    put(entryOf({ startedAt: 100 }));
    const before = registry.get(ID)!;
    before.placed.avoidUntil = 60_000;
    before.placed.objects.note(objectKey('o'));
    put(entryOf({ startedAt: 100, writes: 6, leaving: true }));
    put(entryOf({ startedAt: 200, writes: 1, coldForMs: 3000 }));
    const after = registry.get(ID)!;
    expect(after).not.toBe(before);
    expect(after.placed).toMatchObject({ leaving: false, avoidUntil: 0, coldUntil: 4000 });
    expect(after.placed.objects.has(objectKey('o'))).toBe(false);
    expect(registry.forService(serviceName('s')).pool.targets).toEqual([after.placed]);
  });

  it('is told from late writes of its earlier run, and from its own', () => {
    const known = entryOf({ startedAt: 200, writes: 5 });
    const withoutStart = entryOf({ writes: 5 });
    const orders = [
      compareRuns(undefined, known),
      compareRuns(known, entryOf({ startedAt: 200, writes: 6 })),
      compareRuns(known, entryOf({ startedAt: 200, writes: 4 })),
      compareRuns(known, entryOf({ startedAt: 100, writes: 9 })),
      compareRuns(known, entryOf({ startedAt: 300, writes: 1 })),
      compareRuns(withoutStart, entryOf({ writes: 1 })),
      compareRuns(withoutStart, entryOf({ writes: 4 })),
      compareRuns(entryOf({ writes: 5, leaving: true }), entryOf({ writes: 1 })),
    ];
    expect(orders).toEqual([
      'same',
      'same',
      'earlier',
      'earlier',
      'later',
      'later',
      'earlier',
      'earlier',
    ]);
  });

  it('does not come back from leaving by a late write of its own', () => {
    const { registry, put } = setUp();
    put(entryOf({ writes: 3 }));
    put(entryOf({ writes: 4, leaving: true }));
    put(entryOf({ writes: 2 }));
    expect(registry.get(ID)!.placed.leaving).toBe(true);
  });
});

describe('what a target said of itself', () => {
  const reportLimit = (registry: TargetRegistry) =>
    registry.get(ID)!.placed.selfReport.limit.hear({ perSecond: 4, ran: true, sentAt: 0 }, 1000);

  it('holds on while its entry is away, for the same run', () => {
    // Guards against a limit that is forgotten when an entry lapses and comes back.
    const { registry, put, remove } = setUp();
    put(entryOf({ startedAt: 100 }));
    reportLimit(registry);
    remove();
    expect(registry.get(ID)).toBeUndefined();
    put(entryOf({ startedAt: 100, writes: 6 }));
    expect(registry.get(ID)!.placed.selfReport.limit.perSecond).toBe(4);
    registry.get(ID)!.placed.selfReport.restUntil = 4000;
    remove();
    put(entryOf({ startedAt: 100, writes: 7 }));
    expect(registry.get(ID)!.placed.selfReport.restUntil).toBe(4000);
    remove();
    put(entryOf({ startedAt: 200, writes: 1 }));
    expect(registry.get(ID)!.placed.selfReport.limit.perSecond).toBeUndefined();
  });

  it('of leaving holds whatever its entry says of the same run', () => {
    // Guards against an entry that was written before the target said so, and puts it back.
    const { registry, put, remove } = setUp();
    put(entryOf({ startedAt: 100 }));
    const { pool } = registry.forService(serviceName('s'));
    const { generation } = pool;
    expect(registry.markLeaving(registry.get(ID)!.placed)).toBe(true);
    expect(registry.markLeaving(registry.get(ID)!.placed)).toBe(false);
    expect(pool.generation).toBeGreaterThan(generation);
    put(entryOf({ startedAt: 100, writes: 6 }));
    expect(registry.get(ID)!.placed.selfReport.leaving).toBe(true);
    remove();
    put(entryOf({ startedAt: 100, writes: 7 }));
    expect(registry.get(ID)!.placed.selfReport.leaving).toBe(true);
    put(entryOf({ startedAt: 200, writes: 1 }));
    expect(registry.get(ID)!.placed.selfReport.leaving).toBe(false);
  });

  // Guards against an older copy of the store that puts a target back which had left.
  it('of leaving in its entry holds when an earlier entry comes back', () => {
    const { registry, put, remove } = setUp();
    put(entryOf({ writes: 3 }));
    put(entryOf({ writes: 4, leaving: true }));
    remove();
    put(entryOf({ writes: 3 }));
    expect(registry.get(ID)!.placed.selfReport.leaving).toBe(true);
  });

  it('does not hold for a later run under its id', () => {
    const { registry, put } = setUp();
    put(entryOf({ startedAt: 100 }));
    reportLimit(registry);
    put(entryOf({ startedAt: 200, writes: 1 }));
    expect(registry.get(ID)!.placed.selfReport.limit.perSecond).toBeUndefined();
  });
});

describe('an entry of another writer', () => {
  it('names no target, and takes away the one that stood under its key', () => {
    const { registry, put, spoil } = setUp();
    put(entryOf());
    expect(registry.size).toBe(1);
    spoil();
    expect(registry.size).toBe(0);
    put(entryOf({ writes: 6 }));
    expect(registry.size).toBe(1);
  });

  it('in a failure domain that does not exist names no target', () => {
    const { registry, put } = setUp();
    put(entryOf({ failureDomain: failureDomainName('nowhere') }));
    expect(registry.size).toBe(0);
  });
});
