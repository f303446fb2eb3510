/**
 * Takes changes into beliefs, but holds removals for a while after an outage.
 * Entries lapse while the store is away and are written again within about
 * two seconds of its return; taking those removals at once would empty the
 * registry, and every request would be refused until they are back.
 */
import type { Beliefs } from './beliefs';
import type { FactChange, FactChanges, FactList } from './facts';

/** How long removals are held after an outage that no peer was spared, ms. */
const LAPSE_HOLD_MS = 2200;

/** Beliefs behind the hold. Times on the steady clock, ms. */
export class HeldRemovals {
  private readonly held = new Map<string, FactChange>();

  private holdUntil = 0;

  constructor(
    private readonly beliefs: Beliefs,
    private readonly now: () => number,
  ) {}

  /** Holds removals from now on; what is still missing when that ends is gone. */
  hold(): void {
    this.holdUntil = this.now() + LAPSE_HOLD_MS;
    setTimeout(() => this.release(), LAPSE_HOLD_MS);
  }

  /** Takes changes that follow what is known. */
  takeChanges({ changes, revision }: FactChanges): void {
    // A peer's list may have brought a later state meanwhile.
    changes
      .filter((change) => change.revision > this.beliefs.revision)
      .forEach((change) => this.take(change));
    this.beliefs.advance(revision);
  }

  /** Takes a list, unless a later state is known; what it lacks was removed. */
  takeList(list: FactList): void {
    if (list.revision < this.beliefs.revision) return;
    const gone = this.beliefs.missingFrom(list);
    list.records.forEach((record) => this.take(record));
    gone.forEach((key) => this.take({ key, revision: list.revision, removed: true }));
    this.beliefs.advance(list.revision);
  }

  private take(change: FactChange): void {
    const fact = this.beliefs.factOf(change.key);
    const lapsable = (fact?.kind === 'target' && !fact.target.leaving) || fact?.kind === 'instance';
    if ('removed' in change && lapsable && this.now() < this.holdUntil) {
      this.held.set(change.key, change);
      return;
    }
    this.held.delete(change.key);
    this.beliefs.take(change);
  }

  private release(): void {
    this.held.forEach((change) => this.beliefs.take(change));
    this.held.clear();
  }
}
