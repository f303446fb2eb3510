/**
 * Tests fleets whose instances join, leave, are killed, or are partitioned from
 * the store or from everything: after they settle, all agree on which instances
 * watch the store, and each receives a change in time.
 */
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { relayCount } from '@cardamomladder/fleet';
import { failureDomainName } from '@cardamomladder/types';
import type { Partition, SimulatedInstance } from '../__fixtures__/simulatedFleet';
import { SimulatedFleet, evacuationValue } from '../__fixtures__/simulatedFleet';
import { SimulatedStore } from '../__fixtures__/simulatedStore';

vi.mock('node:zlib', async (original) =>
  (await import('../__fixtures__/synchronousZlib')).synchronousZlib(original),
);

/** Time after the last disturbance until the fleet has settled, ms: entries of killed instances expire after 3 s, and a failed relay is not used for as long. */
const SETTLE_MS = 8000;
/** Time within which each live instance must receive a change, ms. */
const PROPAGATION_DEADLINE_MS = 1500;
/** Test timeout, ms: simulating 300 instances takes half a minute on an idle machine and several times as long on a busy one. */
const TEST_TIMEOUT_MS = 180_000;
/** Interval of lease expiry and store snapshots, ms. */
const TICK_INTERVAL_MS = 100;
/** Number of snapshots kept: the oldest is five seconds old. */
const SNAPSHOTS_KEPT = 50;

/** One disturbance: the instance, the event, and the pause after it in ms. */
interface Disturbance {
  which: number;
  what: 'join' | 'stopped' | 'killed' | 'restored' | Partition;
  thenMs: number;
}

const disturbance: fc.Arbitrary<Disturbance> = fc.record({
  which: fc.nat(299),
  what: fc.constantFrom('join', 'stopped', 'killed', 'restored', 'store', 'all', 'none'),
  thenMs: fc.integer({ min: 0, max: 1500 }),
});

let store: SimulatedStore;
let fleet: SimulatedFleet;
let snapshots: ReturnType<SimulatedStore['snapshot']>[];
let tickTimer: NodeJS.Timeout;

const disturb = ({ which, what }: Disturbance): void => {
  const all = [...fleet.live.values()];
  const member = all[which % all.length];
  if (what === 'restored') store.restore(snapshots[which % snapshots.length]);
  else if (what === 'join') fleet.join();
  else if (what === 'none' || what === 'store' || what === 'all') member.partition = what;
  else if (all.length > 1) fleet.terminate(member, what);
};

const simulate = async (
  size: number,
  disturbances: readonly Disturbance[],
): Promise<SimulatedInstance[]> => {
  for (let i = 0; i < size; i += 1) fleet.join();
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  for (const each of disturbances) {
    disturb(each);
    await vi.advanceTimersByTimeAsync(each.thenMs);
  }
  fleet.live.forEach((member) => {
    Object.assign(member, { partition: 'none' });
  });
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  return [...fleet.live.values()];
};

const watchesItself = ({ follower }: SimulatedInstance): boolean =>
  follower.status.value.reached && follower.status.value.through === undefined;

/** Checks which instances watch the store in each region, and which ones the others follow. */
const expectAgreement = (live: readonly SimulatedInstance[]): void => {
  const watching = live.filter(watchesItself).map(({ self }) => self);
  live.forEach(({ follower, self }) => {
    const { reached, through } = follower.status.value;
    expect(reached).toBe(true);
    if (!through) return;
    expect(through.id).not.toBe(self.id);
    expect(through.region).toBe(self.region);
    expect(watching.map(({ id }) => id)).toContain(through.id);
  });
  const regions = new Map<string, number>();
  live.forEach(({ self }) => regions.set(self.region, (regions.get(self.region) ?? 0) + 1));
  const agreed = [...regions.values()].reduce((sum, size) => sum + relayCount(size), 0);
  expect(watching.length).toBe(agreed);
};

const expectSameFleet = (live: readonly SimulatedInstance[]): void => {
  const ids = live.map(({ self }) => self.id).sort();
  live.forEach(({ clusterState }) =>
    expect([...clusterState.instances.keys()].sort()).toEqual(ids),
  );
};

const expectTimelyPropagation = async (live: readonly SimulatedInstance[]): Promise<void> => {
  store.put('evacuations/west', evacuationValue('west'));
  await vi.advanceTimersByTimeAsync(PROPAGATION_DEADLINE_MS);
  const west = failureDomainName('west');
  expect(live.filter(({ clusterState }) => !clusterState.evacuated.has(west))).toEqual([]);
};

const start = (): void => {
  vi.useFakeTimers();
  store = new SimulatedStore(() => performance.now());
  fleet = new SimulatedFleet(store, () => 0.5);
  snapshots = [store.snapshot()];
  tickTimer = setInterval(() => {
    store.expire();
    snapshots = [...snapshots, store.snapshot()].slice(-SNAPSHOTS_KEPT);
  }, TICK_INTERVAL_MS);
};
const finish = (): void => {
  fleet.live.forEach((member) => fleet.terminate(member, 'killed'));
  clearInterval(tickTimer);
  vi.useRealTimers();
};

beforeEach(start);
afterEach(finish);

const simulateAndCheck = async (
  size: number,
  disturbances: readonly Disturbance[],
): Promise<void> => {
  const live = await simulate(size, disturbances);
  expectAgreement(live);
  expectSameFleet(live);
  await expectTimelyPropagation(live);
};

describe('instances of a settled fleet', () => {
  it('agree on which of them watch the store after any sequence of disturbances', async () => {
    await fc.assert(
      fc
        .asyncProperty(
          fc.integer({ min: 1, max: 40 }),
          fc.array(disturbance, { maxLength: 12 }),
          simulateAndCheck,
        )
        .beforeEach(start)
        .afterEach(finish),
      { numRuns: 25, seed: 20 },
    );
  }, 60_000);

  // Guards against instances that follow revisions from before the restore, or that drop instances whose entries the store has lost.
  it.each([1, 9, 40, 300])(
    'agree among %i after the store was repeatedly restored from older copies',
    async (size) => {
      const restores = [0, 20, 49, 5].map((which): Disturbance => ({
        which,
        what: 'restored',
        thenMs: 700,
      }));
      const killed = { which: 0, what: 'killed', thenMs: 300 } as const;
      const others: Disturbance[] = size === 1 ? [] : [killed, { ...killed, what: 'store' }];
      await simulateAndCheck(size, [{ ...killed, what: 'join' }, ...others, ...restores]);
    },
    TEST_TIMEOUT_MS,
  );

  it.each([100, 300])(
    'agree among %i that start together and then lose half',
    async (size) => {
      const half = Array.from({ length: size / 2 }, (_, i): Disturbance => ({
        which: i,
        what: i % 2 === 0 ? 'killed' : 'stopped',
        thenMs: 5,
      }));
      await simulateAndCheck(size, half);
    },
    60_000,
  );

  it.each([500, 3000])('receive %i simultaneous changes through the relays', async (count) => {
    // Guards against six full list calls to the store from each instance of a
    // region at once: when a region of 1,500 targets loses power and returns, its
    // entries are removed and added within a second, a relay retains fewer changes
    // than that, and it told its followers to list from the store.
    const live = await simulate(30, []);
    const { list, watch } = store.calls;
    for (let i = 0; i < count; i += 1) store.put(`evacuations/d-${i}`, evacuationValue(`d-${i}`));
    await vi.advanceTimersByTimeAsync(PROPAGATION_DEADLINE_MS);
    const known = live.map(({ clusterState }) => clusterState.evacuated.size);
    expect(known).toEqual(live.map(() => count));
    expect(store.calls.watch - watch).toBeLessThanOrEqual(10);
    expect(store.calls.list).toBe(list);
  });
});
