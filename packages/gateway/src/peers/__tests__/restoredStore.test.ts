/**
 * Tests the state that instances hold while the store is restored from older
 * copies: they receive new records in time and revert to no earlier state,
 * whatever the store's revisions are afterwards.
 */
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { StoreRecord } from '@cardamomladder/fleet';
import type { Configuration } from '@cardamomladder/routing';
import {
  configurationVersion,
  failureDomainName,
  serviceName,
  socketAddress,
  targetId,
} from '@cardamomladder/types';
import type { SimulatedInstance } from '../__fixtures__/simulatedFleet';
import { SimulatedFleet, evacuationValue } from '../__fixtures__/simulatedFleet';
import { SimulatedStore } from '../__fixtures__/simulatedStore';

vi.mock('node:zlib', async (original) =>
  (await import('../__fixtures__/synchronousZlib')).synchronousZlib(original),
);

/** Time within which a fleet has registered and selected its relays, ms. */
const SETTLE_MS = 6000;
/** Time within which new records must be known once the store responds again, ms: the allowed time minus one second for requests in progress. */
const PROPAGATION_DEADLINE_MS = 1500;
/** Delay after the restore until operators and targets write lost records again, ms. */
const REWRITE_DELAY_MS = 1500;
const CHECK_INTERVAL_MS = 50;

const WEST = failureDomainName('west');

/** One restore of the store from an older copy. */
interface RestoreScenario {
  /** Age of the copy when the store becomes unreachable, ms. */
  lostMs: number;
  awayMs: number;
  /** Difference between the store's revision after the restore and the one that instances followed before. */
  offset: number;
  /** Time from the restore to the next scenario, ms. */
  thenMs: number;
  /** From the restore on, one instance cannot reach the store and depends on its peers. */
  storeRefusesOne: boolean;
}

const configurationOf = (version: number): StoreRecord['fact'] => ({
  kind: 'configuration',
  configuration: { version: configurationVersion(version) } as Configuration,
});
const targetOf = (id: string, leaving: boolean, writes: number): StoreRecord['fact'] => ({
  kind: 'target',
  target: {
    id: targetId(id),
    service: serviceName('s'),
    address: socketAddress('10.0.0.1:80'),
    failureDomain: failureDomainName('north-a'),
    slots: 4,
    leaving,
    coldForMs: 0,
    writes,
  },
});

let store: SimulatedStore;
let fleet: SimulatedFleet;
let expiryTimer: NodeJS.Timeout;
/** Latest values written by operators and targets, by key; undefined if removed. */
let written: Map<string, StoreRecord['fact'] | undefined>;
let version: number;

const write = (key: string, fact: StoreRecord['fact'] | undefined): void => {
  written.set(key, fact);
  store.put(key, fact);
};
const writeConfiguration = (): void => {
  version += 1;
  write('configuration', configurationOf(version));
};
const writeFiller = (count: number): void => {
  for (let i = 0; i < count; i += 1) store.put('other', evacuationValue('nowhere'));
};

/** State of an instance that must not revert. */
interface ObservedState {
  version: number;
  leaving: Set<string>;
  gone: Set<string>;
}
const factOf = ({ clusterState }: SimulatedInstance, key: string) => clusterState.valueAt(key);
const isLeaving = (member: SimulatedInstance, id: string): boolean => {
  const fact = factOf(member, `targets/${id}`);
  return fact?.kind === 'target' && fact.target.leaving;
};
/** Instances that have known the removed target: only they can know of its removal. */
let knewRemovedTarget: Set<SimulatedInstance>;
const canNoticeRemoval = (member: SimulatedInstance): boolean => knewRemovedTarget.has(member);
const TARGETS = ['stays', 'leaves', 'goes', 'comes', 'news'];
const observe = (member: SimulatedInstance): ObservedState => ({
  version: member.clusterState.configuration?.version ?? 0,
  leaving: new Set(TARGETS.filter((id) => isLeaving(member, id))),
  gone: new Set(TARGETS.filter((id) => !factOf(member, `targets/${id}`))),
});
/** Compares an instance's state with its previous one and returns what reverted. */
const regressions = (member: SimulatedInstance, before: ObservedState): string[] => {
  const now = observe(member);
  return [
    ...(now.version < before.version ? [`configuration ${now.version}`] : []),
    ...[...before.leaving].filter((id) => !now.leaving.has(id) && !now.gone.has(id)),
    ...(before.gone.has('goes') && !now.gone.has('goes') && canNoticeRemoval(member)
      ? ['goes']
      : []),
    ...(!before.gone.has('stays') && now.gone.has('stays') ? ['stays'] : []),
    ...(!before.gone.has('comes') && now.gone.has('comes') ? ['comes'] : []),
  ];
};

const recordKnown = (member: SimulatedInstance): void => {
  if (factOf(member, 'targets/goes')) knewRemovedTarget.add(member);
};

/** Advances the clock and returns the regressions of all instances. */
const advance = async (ms: number): Promise<string[]> => {
  const found: string[] = [];
  for (let at = 0; at < ms; at += CHECK_INTERVAL_MS) {
    const informed = [...fleet.live.values()].filter(
      ({ clusterState }) => clusterState.revision > 0,
    );
    informed.forEach(recordKnown);
    const before = new Map(informed.map((each) => [each, observe(each)]));
    await vi.advanceTimersByTimeAsync(Math.min(CHECK_INTERVAL_MS, ms - at));
    before.forEach((known, member) =>
      found.push(...regressions(member, known).map((what) => `${member.self.id}: ${what}`)),
    );
  }
  return found;
};
const partitionAll = (partition: SimulatedInstance['partition']): void =>
  fleet.live.forEach((member) => {
    Object.assign(member, { partition });
  });

const refuseOne = (): void => {
  const [first, ...others] = fleet.live.values();
  const knowsPeers = others.some(({ self }) => first.clusterState.instances.has(self.id));
  if (knowsPeers) Object.assign(first, { partition: 'store' });
};

const rewrite = (): void =>
  written.forEach((fact, key) => {
    if (store.valueOf(key) !== fact) store.put(key, fact);
  });

/** Restores the store from a copy, so that recent changes are lost, and writes new records right after the restore. */
const runScenario = async ({
  lostMs,
  awayMs,
  offset,
  thenMs,
  storeRefusesOne,
}: RestoreScenario): Promise<string[]> => {
  const snapshot = store.snapshot();
  writeConfiguration();
  write('targets/leaves', targetOf('leaves', true, 9));
  write('targets/goes', undefined);
  write('targets/comes', targetOf('comes', false, 1));
  write('evacuations/west', evacuationValue('west'));
  writeFiller(4);
  const found = await advance(lostMs);
  const followed = store.revision;
  partitionAll('store');
  found.push(...(await advance(awayMs)));
  store.restore(snapshot);
  writeConfiguration();
  write('targets/news', targetOf('news', true, 5 + version));
  writeFiller(followed + offset - store.revision);
  setTimeout(rewrite, REWRITE_DELAY_MS);
  partitionAll('none');
  if (storeRefusesOne) refuseOne();
  fleet.join();
  return [...found, ...(await advance(thenMs))];
};

const start = (): void => {
  vi.useFakeTimers();
  store = new SimulatedStore(() => performance.now());
  fleet = new SimulatedFleet(store, () => 0.5);
  written = new Map();
  knewRemovedTarget = new Set();
  version = 0;
  expiryTimer = setInterval(() => store.expire(), CHECK_INTERVAL_MS);
  writeConfiguration();
  TARGETS.filter((id) => id !== 'comes').forEach((id) =>
    write(`targets/${id}`, targetOf(id, false, 1)),
  );
};
const finish = (): void => {
  fleet.live.forEach((member) => fleet.terminate(member, 'killed'));
  clearInterval(expiryTimer);
  vi.useRealTimers();
};

beforeEach(start);
afterEach(finish);

const expectLatestFacts = (): void =>
  fleet.live.forEach((member) => {
    expect(`${member.self.id}: ${member.clusterState.configuration?.version}`).toBe(
      `${member.self.id}: ${version}`,
    );
    expect(isLeaving(member, 'news')).toBe(true);
  });

const simulate = async (size: number, scenarios: readonly RestoreScenario[]): Promise<void> => {
  for (let i = 0; i < size; i += 1) fleet.join();
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  const found: string[] = [];
  for (const each of scenarios) found.push(...(await runScenario(each)));
  found.push(...(await advance(PROPAGATION_DEADLINE_MS)));
  expectLatestFacts();
  found.push(...(await advance(REWRITE_DELAY_MS + PROPAGATION_DEADLINE_MS)));
  expect(found).toEqual([]);
  fleet.live.forEach((member) => {
    expect(member.clusterState.evacuated.has(WEST)).toBe(true);
    expect(isLeaving(member, 'leaves')).toBe(true);
    expect(factOf(member, 'targets/goes')).toBeUndefined();
    expect(factOf(member, 'targets/comes')).toBeDefined();
  });
};

const scenarios = fc.array(
  fc.record({
    lostMs: fc.integer({ min: 0, max: 3000 }),
    awayMs: fc.integer({ min: 0, max: 2500 }),
    offset: fc.integer({ min: -6, max: 8 }),
    thenMs: fc.integer({ min: 0, max: 2500 }),
    storeRefusesOne: fc.boolean(),
  }),
  { minLength: 1, maxLength: 3 },
);

describe('instances of a fleet whose store is restored from older copies', () => {
  // Guards against missed records and reverted states caused by revisions from before the restore.
  it('receive new records in time and revert no state', async () => {
    await fc.assert(
      fc
        .asyncProperty(fc.integer({ min: 1, max: 30 }), scenarios, simulate)
        .beforeEach(start)
        .afterEach(finish),
      { numRuns: 25, seed: 33 },
    );
  }, 60_000);
});
