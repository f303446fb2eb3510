/**
 * The latest changes of the facts, for peers that follow the store through
 * this instance. It keeps them as they came from the store, so a peer that
 * takes them believes what it would have read there itself.
 */
import { Subject } from 'rxjs';
import type { StoreEpoch, StoreMoment } from '@cardamomladder/types';
import { compareMoments, storeEpoch } from '@cardamomladder/types';
import type { FactChange, FactChanges } from './facts';

/** Changes kept at least: a whole fleet of 300 targets and instances that is replaced within one question of a peer (700 ms) fits. */
const CHANGES_KEPT_LEAST = 1024;

/** Changes in the store's order; `advanced` emits after each addition. */
export class ChangeLog {
  readonly advanced = new Subject<void>();

  /** The store's epoch whose changes are kept. */
  epoch: StoreEpoch = storeEpoch(0);

  /** The store's revision up to which changes are known. */
  revision = 0;

  /** Changes after this revision are kept. */
  private keptFrom = 0;

  private changes: readonly FactChange[] = [];

  /** Changes kept at most; it follows the most facts ever known, since all of them may be removed at once. */
  private most = CHANGES_KEPT_LEAST;

  /**
   * `known` tells how many facts are known: so many changes are kept, as all
   * of them may change within one question. With 1,024 kept, 3,000 changes at
   * once sent each of 30 instances to the store (87 watches in place of 6).
   */
  constructor(private readonly known: () => number = () => 0) {}

  /** True when something later than `moment` is known. */
  isAfter(moment: StoreMoment): boolean {
    return compareMoments(this, moment) > 0;
  }

  /** Starts again at a listed moment: what changed before is not known one by one. */
  restart({ epoch, revision }: StoreMoment): void {
    if (epoch === this.epoch && revision === this.revision) return;
    this.changes = [];
    this.epoch = epoch;
    this.keptFrom = revision;
    this.revision = revision;
    this.advanced.next();
  }

  /** Adds the changes after revision `after` of their epoch; starts again there when that leaves a gap. */
  add(after: number, { epoch, changes, revision }: FactChanges): void {
    if (epoch !== this.epoch || after > this.revision) this.restart({ epoch, revision: after });
    if (revision <= this.revision) return;
    const all = [...this.changes, ...changes.filter((c) => c.revision > this.revision)];
    this.most = Math.max(this.most, this.known());
    const dropped = all.slice(0, Math.max(0, all.length - this.most)).at(-1);
    this.keptFrom = dropped?.revision ?? this.keptFrom;
    this.changes = all.filter((change) => change.revision > this.keptFrom);
    this.revision = revision;
    this.advanced.next();
  }

  /** Changes after a moment; undefined when some of them are not kept. */
  since({ epoch, revision }: StoreMoment): FactChange[] | undefined {
    if (epoch !== this.epoch || revision < this.keptFrom) return undefined;
    return this.changes.filter((change) => change.revision > revision);
  }
}
