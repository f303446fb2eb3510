/** Simulates the store in virtual time: revisions, leases and watches, with per-instance reachability. */
import type { ResultAsync } from 'neverthrow';
import { ResultAsync as Results } from 'neverthrow';
import { Subject } from 'rxjs';
import type {
  RecordChange,
  StoreRecord,
  InstanceEntry,
  Store,
  StoreFailure,
} from '@cardamomladder/fleet';
import type { StoreEpoch, StorePosition } from '@cardamomladder/types';
import { sleep, storeEpoch } from '@cardamomladder/types';

/** Round-trip time of a call, ms. */
const ROUND_TRIP_MS = 4;
/** Timeout of a call without a response, ms. */
const CALL_TIMEOUT_MS = 450;
/** Polling interval of watches, ms. */
const POLL_INTERVAL_MS = 20;

/** Failure of a store call; `kind` distinguishes it from other errors. */
export class StoreCallError extends Error {
  constructor(
    readonly kind: StoreFailure['kind'],
    message: string,
  ) {
    super(message);
  }
}

interface StoredFact {
  record: StoreRecord;
  lease: number;
}

/** Content of a copy of the store. */
interface Snapshot {
  revision: number;
  held: [string, StoredFact][];
  changes: RecordChange[];
  leases: [number, { ttlMs: number }][];
  leasesGranted: number;
}

/** The simulated store of a fleet. */
export class SimulatedStore {
  epoch: StoreEpoch = storeEpoch(0);

  revision = 0;

  /** Number of calls received, by kind. */
  readonly calls = { list: 0, watch: 0, lease: 0 };

  private held = new Map<string, StoredFact>();

  private changes: RecordChange[] = [];

  private readonly leases = new Map<number, { endsAt: number; ttlMs: number }>();

  private leasesGranted = 0;

  constructor(private readonly now: () => number) {}

  /** Writes a fact, or removes it if `fact` is undefined. */
  put(key: string, fact: StoreRecord['fact'] | undefined, lease = 0): void {
    this.revision += 1;
    const record = fact && { key, revision: this.revision, fact };
    if (record) this.held.set(key, { record, lease });
    else this.held.delete(key);
    this.changes.push(record ?? { key, revision: this.revision, removed: true });
  }

  /** Returns the fact stored under a key, if any. */
  valueOf(key: string): StoreRecord['fact'] | undefined {
    return this.held.get(key)?.record.fact;
  }

  /** Copies the current content. */
  snapshot(): Snapshot {
    return {
      revision: this.revision,
      held: [...this.held],
      changes: [...this.changes],
      leases: [...this.leases],
      leasesGranted: this.leasesGranted,
    };
  }

  /** Restores an older snapshot: revisions and lease ids are assigned again, and the leases of the snapshot start anew. */
  restore({ revision, held, changes, leases, leasesGranted }: Snapshot): void {
    this.epoch = storeEpoch(this.epoch + 1);
    this.revision = revision;
    this.held = new Map(held);
    this.changes = [...changes];
    this.leases.clear();
    leases.forEach(([id, { ttlMs }]) => this.leases.set(id, { ttlMs, endsAt: this.now() + ttlMs }));
    this.leasesGranted = leasesGranted;
  }

  /** Ends leases that were not renewed in time. */
  expire(): void {
    this.leases.forEach(({ endsAt }, id) => {
      if (endsAt <= this.now()) this.end(id);
    });
  }

  /** Creates the store client of one instance; calls fail while `isReachable` is false. */
  clientFor(isReachable: () => boolean): Store {
    const epochs = new Subject<StoreEpoch>();
    let latest = this.epoch;
    const publishEpoch = (): void => {
      if (this.epoch === latest) return;
      latest = this.epoch;
      epochs.next(latest);
    };
    const call = <T>(answer: () => Promise<T>): ResultAsync<T, StoreFailure> =>
      Results.fromPromise(
        this.respond(isReachable, async () => {
          try {
            return await answer();
          } finally {
            publishEpoch();
          }
        }),
        (error) => error as StoreCallError,
      );
    return {
      list: () =>
        call(async () => {
          this.calls.list += 1;
          const records = [...this.held.values()].map(({ record }) => record);
          return { records, ...this.position };
        }),
      watch: (after, waitMs) => call(() => this.watch(after, waitMs, isReachable)),
      grantLease: (ttlMs) => call(async () => this.grant(ttlMs)),
      renewLease: (id) => call(async () => this.renew(id)),
      endLease: (id) => call(async () => this.end(id)),
      register: (instance, lease, asMember) =>
        call(async () => this.register(instance, lease, asMember)),
      memberKey: (id) => `members/${id}`,
      removeMembers: () => call(async () => {}),
      instanceKey: (id) => `instances/${id}`,
      fileReport: () => call(async () => {}),
      reportKey: (id) => `crashes/${id}`,
      reportId: (key) => key.replace('crashes/', ''),
      epochs,
      removeReports: () => call(async () => {}),
      readRetryClaims: () => call(async () => []),
      claimRetries: () => call(async () => this.revision),
      close: () => {},
    };
  }

  private async respond<T>(isReachable: () => boolean, answer: () => Promise<T>): Promise<T> {
    await sleep(ROUND_TRIP_MS);
    if (isReachable()) {
      const value = await answer();
      if (isReachable()) return value;
    }
    await sleep(CALL_TIMEOUT_MS);
    throw new StoreCallError('unavailable', 'store unreachable');
  }

  private get position(): StorePosition {
    return { epoch: this.epoch, revision: this.revision };
  }

  private async watch(after: number, waitMs: number, isReachable: () => boolean) {
    this.calls.watch += 1;
    const end = this.now() + waitMs;
    while (this.revision === after && this.now() < end && isReachable())
      await sleep(POLL_INTERVAL_MS);
    if (after > this.revision) throw new StoreCallError('history-gone', 'no such revision');
    return {
      changes: this.changes.filter(({ revision }) => revision > after),
      ...this.position,
    };
  }

  private grant(ttlMs: number) {
    this.calls.lease += 1;
    this.leasesGranted += 1;
    this.leases.set(this.leasesGranted, { endsAt: this.now() + ttlMs, ttlMs });
    return { id: this.leasesGranted, ttlMs };
  }

  private renew(id: number): void {
    this.calls.lease += 1;
    const lease = this.leases.get(id);
    if (!lease) throw new StoreCallError('lease-ended', 'no such lease');
    lease.endsAt = this.now() + lease.ttlMs;
  }

  private register(instance: InstanceEntry, lease: number, asMember: boolean): StorePosition {
    if (!this.leases.has(lease)) throw new StoreCallError('lease-ended', 'no such lease');
    this.put(`instances/${instance.id}`, { kind: 'instance', instance }, lease);
    if (asMember) this.put(`members/${instance.id}`, { kind: 'member', id: instance.id });
    return this.position;
  }

  private end(id: number): void {
    this.leases.delete(id);
    [...this.held]
      .filter(([, { lease }]) => lease === id)
      .forEach(([key]) => this.put(key, undefined));
  }
}
