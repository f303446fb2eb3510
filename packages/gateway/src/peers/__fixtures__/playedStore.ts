/** The store in virtual time: revisions, leases and watches, reached or not by each instance. */
import type { ResultAsync } from 'neverthrow';
import { ResultAsync as Results } from 'neverthrow';
import { Subject } from 'rxjs';
import type {
  FactChange,
  FactRecord,
  InstanceEntry,
  Store,
  StoreFailure,
} from '@cardamomladder/fleet';
import type { StoreEpoch, StoreMoment } from '@cardamomladder/types';
import { pause, storeEpoch } from '@cardamomladder/types';

/** Way there and back, ms. */
const ANSWER_MS = 4;
/** When a call that nothing answers is given up, ms. */
const SILENCE_MS = 450;
/** How often leases and watches are looked at, ms. */
const LOOK_MS = 20;

/** A call that failed; told apart from other errors by its kind. */
export class FailedCall extends Error {
  constructor(
    readonly kind: StoreFailure['kind'],
    message: string,
  ) {
    super(message);
  }
}

interface Held {
  record: FactRecord;
  lease: number;
}

/** What a copy of the store holds. */
interface Copy {
  revision: number;
  held: [string, Held][];
  changes: FactChange[];
  leases: [number, { ttlMs: number }][];
  leasesGranted: number;
}

/** The one store of a fleet. */
export class PlayedStore {
  epoch: StoreEpoch = storeEpoch(0);

  revision = 0;

  /** Calls taken, by kind. */
  readonly calls = { list: 0, watch: 0, lease: 0 };

  private held = new Map<string, Held>();

  private changes: FactChange[] = [];

  private readonly leases = new Map<number, { endsAt: number; ttlMs: number }>();

  private leasesGranted = 0;

  constructor(private readonly now: () => number) {}

  /** Writes a fact, or takes it away. */
  put(key: string, fact: FactRecord['fact'] | undefined, lease = 0): void {
    this.revision += 1;
    const record = fact && { key, revision: this.revision, fact };
    if (record) this.held.set(key, { record, lease });
    else this.held.delete(key);
    this.changes.push(record ?? { key, revision: this.revision, removed: true });
  }

  /** The fact under a key, if any. */
  factOf(key: string): FactRecord['fact'] | undefined {
    return this.held.get(key)?.record.fact;
  }

  /** A copy of everything as it stands. */
  copy(): Copy {
    return {
      revision: this.revision,
      held: [...this.held],
      changes: [...this.changes],
      leases: [...this.leases],
      leasesGranted: this.leasesGranted,
    };
  }

  /** Comes back from an older copy: revisions and leases are given out again; leases of the copy run anew. */
  restore({ revision, held, changes, leases, leasesGranted }: Copy): void {
    this.epoch = storeEpoch(this.epoch + 1);
    this.revision = revision;
    this.held = new Map(held);
    this.changes = [...changes];
    this.leases.clear();
    leases.forEach(([id, { ttlMs }]) => this.leases.set(id, { ttlMs, endsAt: this.now() + ttlMs }));
    this.leasesGranted = leasesGranted;
  }

  /** Ends leases that were not renewed. */
  expire(): void {
    this.leases.forEach(({ endsAt }, id) => {
      if (endsAt <= this.now()) this.end(id);
    });
  }

  /** The store as one instance reaches it, or does not. */
  seenBy(reaches: () => boolean): Store {
    const epochs = new Subject<StoreEpoch>();
    let latest = this.epoch;
    const tellEpoch = (): void => {
      if (this.epoch === latest) return;
      latest = this.epoch;
      epochs.next(latest);
    };
    const call = <T>(answer: () => Promise<T>): ResultAsync<T, StoreFailure> =>
      Results.fromPromise(
        this.answered(reaches, async () => {
          try {
            return await answer();
          } finally {
            tellEpoch();
          }
        }),
        (error) => error as FailedCall,
      );
    return {
      list: () =>
        call(async () => {
          this.calls.list += 1;
          const records = [...this.held.values()].map(({ record }) => record);
          return { records, ...this.moment };
        }),
      watch: (after, waitMs) => call(() => this.watch(after, waitMs, reaches)),
      grantLease: (ttlMs) => call(async () => this.grant(ttlMs)),
      renewLease: (id) => call(async () => this.renew(id)),
      endLease: (id) => call(async () => this.end(id)),
      register: (instance, lease) => call(async () => this.register(instance, lease)),
      instanceKey: (id) => `instances/${id}`,
      fileReport: () => call(async () => {}),
      reportKey: (id) => `crashes/${id}`,
      reportId: (key) => key.replace('crashes/', ''),
      epochs,
      removeReports: () => call(async () => {}),
      close: () => {},
    };
  }

  private async answered<T>(reaches: () => boolean, answer: () => Promise<T>): Promise<T> {
    await pause(ANSWER_MS);
    if (reaches()) {
      const value = await answer();
      if (reaches()) return value;
    }
    await pause(SILENCE_MS);
    throw new FailedCall('unavailable', 'cut off');
  }

  private get moment(): StoreMoment {
    return { epoch: this.epoch, revision: this.revision };
  }

  private async watch(after: number, waitMs: number, reaches: () => boolean) {
    this.calls.watch += 1;
    const end = this.now() + waitMs;
    while (this.revision === after && this.now() < end && reaches()) await pause(LOOK_MS);
    if (after > this.revision) throw new FailedCall('history-gone', 'no such revision');
    return {
      changes: this.changes.filter(({ revision }) => revision > after),
      ...this.moment,
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
    if (!lease) throw new FailedCall('lease-ended', 'no such lease');
    lease.endsAt = this.now() + lease.ttlMs;
  }

  private register(instance: InstanceEntry, lease: number): StoreMoment {
    if (!this.leases.has(lease)) throw new FailedCall('lease-ended', 'no such lease');
    this.put(`instances/${instance.id}`, { kind: 'instance', instance }, lease);
    return this.moment;
  }

  private end(id: number): void {
    this.leases.delete(id);
    [...this.held]
      .filter(([, { lease }]) => lease === id)
      .forEach(([key]) => this.put(key, undefined));
  }
}
