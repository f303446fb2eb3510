/**
 * Takes changes and lists into beliefs.
 *
 * A store that came back from an older copy lacks what was written since, until
 * it is written again, and shows states that have passed. Neither counts as a
 * change: what is known is kept, under the revisions of the new epoch.
 */
import type { Beliefs } from './beliefs';
import { DoubtedFacts } from './doubtedFacts';
import type { Fact, FactChange, FactChanges, FactList, FactRecord } from './facts';
import { HeldRemovals } from './heldRemovals';
import type { Standing } from './restoredFacts';
import { standingOf } from './restoredFacts';

/** Facts that outlast a store that has lost them: an older configuration never comes in force, and reports of crashes are filed again. */
const isKept = (fact: Fact | undefined): boolean =>
  fact?.kind === 'configuration' || fact?.kind === 'crash-report';

const isLapsable = (fact: Fact | undefined): boolean =>
  (fact?.kind === 'target' && !fact.target.leaving) || fact?.kind === 'instance';

/** What comes in, on its way into beliefs. */
export class IncomingFacts {
  private readonly removals: HeldRemovals;

  private readonly doubted: DoubtedFacts;

  constructor(
    private readonly beliefs: Beliefs,
    /** Steady clock, ms. */
    now: () => number,
    storeHeard: () => boolean,
  ) {
    this.removals = new HeldRemovals(beliefs, now, storeHeard);
    this.doubted = new DoubtedFacts(beliefs);
  }

  /** Holds removals from now on; what is still missing when that ends is gone. */
  hold(): void {
    this.removals.hold();
  }

  /** Takes changes that follow what is known; false when they come from another epoch of the store. */
  takeChanges({ epoch, changes, revision }: FactChanges): boolean {
    if (epoch !== this.beliefs.epoch) return false;
    // A peer's list may have brought a later state meanwhile.
    changes
      .filter((change) => change.revision > this.beliefs.revision)
      .forEach((change) => this.take(change));
    this.beliefs.advance(revision);
    return true;
  }

  /** Takes a list; false when a later state is known. */
  takeList(list: FactList): boolean {
    const { beliefs } = this;
    if (beliefs.revision === 0) this.takeFirst(list);
    else if (list.epoch > beliefs.epoch) this.takeRestored(list);
    else if (list.epoch < beliefs.epoch || list.revision < beliefs.revision) return false;
    else this.takeCurrent(list);
    this.takeMissing(list);
    return true;
  }

  /** What is believed, for a peer: what the store lacks stands apart, since no change will tell of its removal. */
  list(): FactList {
    const { records, ...moment } = this.beliefs.list();
    const isMissing = ({ key, revision }: FactRecord) => revision === 0 || this.removals.has(key);
    const missing = records.filter(isMissing);
    const doubted = this.doubted.list();
    return {
      ...moment,
      records: records.filter((record) => !isMissing(record)),
      ...(missing.length > 0 ? { missing } : {}),
      ...(doubted.length > 0 ? { doubted } : {}),
    };
  }

  private takeFirst(list: FactList): void {
    this.beliefs.startEpoch(list);
    this.takeDoubted(list);
    list.records.forEach((record) => this.takeListed(record));
  }

  /** Removes what a list of the same epoch lacks. */
  private takeCurrent(list: FactList): void {
    const { beliefs } = this;
    const { records, revision, missing = [] } = list;
    this.doubted.keepOnly(new Set(records.map(({ key }) => key)));
    this.takeDoubted(list);
    const heldByPeer = new Set(missing.map(({ key }) => key));
    // What stands at no revision is missing already, and its removal held.
    const gone = beliefs.missingFrom(list).filter((key) => beliefs.revisionOf(key) > 0);
    gone
      .filter((key) => !heldByPeer.has(key))
      .forEach((key) => this.take({ key, revision, removed: true }));
    gone.filter((key) => heldByPeer.has(key)).forEach((key) => this.miss(key, revision));
    records.forEach((record) => this.takeListed(record));
    beliefs.advance(revision);
  }

  /** Moves all that is known to the epoch of a list, by the revisions there. */
  private takeRestored(list: FactList): void {
    const { beliefs } = this;
    const followed = beliefs.moment;
    this.doubted.clear();
    this.takeDoubted(list);
    const missing = beliefs.missingFrom(list);
    beliefs.startEpoch(list);
    this.removals.clear();
    this.removals.hold();
    const outdated = list.records.filter((record) => this.judge(record) === 'outdated');
    missing.forEach((key) => this.miss(key, list.revision));
    beliefs.restored({ ...beliefs.moment, followed, missing, outdated });
  }

  private judge(listed: FactRecord): Standing {
    const { beliefs } = this;
    const { key, revision } = listed;
    const held = beliefs.recordOf(key);
    this.removals.settle(key);
    const standing = standingOf(listed, held, beliefs.removed.get(key));
    if (standing === 'news') beliefs.put(listed);
    else if (held) beliefs.rebase(key, revision);
    else this.doubted.add(listed);
    return standing;
  }

  /** Takes a listed record, unless it is one that has been removed. */
  private takeListed(listed: FactRecord): void {
    const { beliefs } = this;
    const { key } = listed;
    const removed = beliefs.holds(key) ? undefined : beliefs.removed.get(key);
    if (removed && standingOf(listed, undefined, removed) === 'outdated') this.doubted.add(listed);
    else this.take(listed);
  }

  /** Takes a peer's word that facts were removed before the store's return. */
  private takeDoubted({ doubted = [] }: FactList): void {
    doubted.forEach((record) => {
      this.beliefs.remove(record.key, record.revision);
      this.doubted.add(record);
    });
  }

  /** Holds the removal of a fact that the store lacks. */
  private miss(key: string, revision: number): void {
    const { beliefs, removals } = this;
    removals.lose(beliefs.recordOf(key));
    beliefs.rebase(key, 0);
    if (isKept(beliefs.factOf(key))) return;
    removals.add({ key, revision, removed: true });
    removals.hold();
  }

  /** Takes what a peer holds though the store lacks it, where nothing is known of it. */
  private takeMissing({ missing = [], revision }: FactList): void {
    const { beliefs } = this;
    const unknown = missing.filter(({ key }) => !beliefs.holds(key) && !beliefs.removed.get(key));
    unknown.forEach((record) => {
      beliefs.put(record);
      this.miss(record.key, revision);
    });
  }

  private take(change: FactChange): void {
    if (this.doubted.covers(change)) return;
    const isHeld = 'removed' in change && isLapsable(this.beliefs.factOf(change.key));
    if (isHeld && this.removals.holding) {
      this.removals.add(change);
      return;
    }
    this.removals.settle(change.key);
    this.beliefs.take(change);
  }
}
