/** An instance's registration after the store came back from an older copy. */
import { okAsync } from 'neverthrow';
import { NEVER } from 'rxjs';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { storeEpoch } from '@cardamomladder/types';
import type { FactRecord, Registration, Store } from '..';
import { Beliefs, startRegistration } from '..';
import { IncomingFacts } from '../incomingFacts';
import { FIRST_EPOCH } from '../__fixtures__/follower';
import { instanceAt } from '../__fixtures__/instances';

const SELF = instanceAt('i-1', 'north-a', 'north');
const KEY = `instances/${SELF.id}`;
/** The revision of the entry that is written first. */
const WRITTEN_AT = 5;

const entryAt = (revision: number): FactRecord => ({
  key: KEY,
  revision,
  fact: { kind: 'instance', instance: SELF },
});

let calls: string[];
let beliefs: Beliefs;
let facts: IncomingFacts;
let registration: Registration;

const start = async (): Promise<void> => {
  const store = {
    grantLease: () => okAsync({ id: 7, ttlMs: 3000 }),
    renewLease: () => {
      calls.push('renew');
      return okAsync(undefined);
    },
    endLease: () => {
      calls.push('end lease');
      return okAsync(undefined);
    },
    register: () => {
      calls.push('register');
      return okAsync({ epoch: beliefs.epoch, revision: WRITTEN_AT });
    },
    instanceKey: (id: string) => `instances/${id}`,
    epochs: NEVER,
  } as unknown as Store;
  registration = startRegistration({
    store,
    beliefs,
    self: SELF,
    now: () => Date.now(),
    report: () => {},
  });
  await vi.advanceTimersByTimeAsync(10);
  facts.takeList({ epoch: FIRST_EPOCH, revision: WRITTEN_AT, records: [entryAt(WRITTEN_AT)] });
  calls = [];
};
const restore = async (records: FactRecord[]): Promise<void> => {
  facts.takeList({ epoch: storeEpoch(1), revision: WRITTEN_AT, records });
  await vi.advanceTimersByTimeAsync(10);
};

beforeEach(async () => {
  vi.useFakeTimers();
  calls = [];
  beliefs = new Beliefs(() => Date.now());
  facts = new IncomingFacts(
    beliefs,
    () => Date.now(),
    () => true,
  );
  await start();
});
afterEach(async () => {
  await registration.leave();
  vi.useRealTimers();
});

describe('a registration, after the store came back from an older copy', () => {
  // Guards against a lease that another instance has been given meanwhile being renewed as one's own.
  it('is made anew at once where the store lacks the entry', async () => {
    await restore([]);
    expect(calls).toEqual(['register']);
  });

  // Guards against relying on an entry whose lease has ended.
  it('is made anew where the store has an entry of an earlier lease', async () => {
    await restore([entryAt(WRITTEN_AT - 2)]);
    expect(calls).toEqual(['register']);
  });

  it('stays where the store has the entry', async () => {
    await restore([entryAt(WRITTEN_AT)]);
    expect(calls).toEqual([]);
    await vi.advanceTimersByTimeAsync(1000);
    expect(calls).toEqual(['renew']);
  });

  // Guards against ending a lease that another instance has been given meanwhile.
  it('ends no lease of before where the instance leaves', async () => {
    facts.takeList({ epoch: storeEpoch(1), revision: WRITTEN_AT, records: [] });
    await registration.leave();
    expect(calls).not.toContain('end lease');
  });
});
