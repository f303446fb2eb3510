/**
 * Takes changes and lists into beliefs.
 *
 * Removals are held for a while after an outage: entries lapse while the store
 * is away and are written again within about two seconds of its return; taking
 * those removals at once would empty the registry, and every request would be
 * refused until they are back.
 *
 * A store that came back from an older copy lacks what was written since, until
 * it is written again, and shows states that have passed. Neither counts as a
 * change: what is known is kept, under the revisions of the new epoch.
 */
import type { Beliefs } from './beliefs';
import type { Fact, FactChange, FactChanges, FactList, FactRecord } from './facts';
import { REGISTRATION_TTL_MS } from './registration';
import type { Standing } from './restoredFacts';
import { standingOf } from './restoredFacts';

/** How long removals are held after an outage that no peer was spared, or the store's return from an older copy, ms. */
const LAPSE_HOLD_MS = 2200;
/** How often a hold that has run out looks whether the store is back, ms. */
const LOOK_AGAIN_MS = 100;
/** A removed fact that an older copy brought back is believed when it still stands after this, ms: three heartbeats, after which a silent writer's entry goes, and the time to hear of it. */
const DOUBT_MS = 10_000;
/** The same for an instance, whose entry goes with its lease. */
const INSTANCE_DOUBT_MS = REGISTRATION_TTL_MS + 1000;

/** Facts that outlast a store that has lost them: an older configuration never comes in force, and reports of crashes are filed again. */
const isKept = (fact: Fact | undefined): boolean =>
  fact?.kind === 'configuration' || fact?.kind === 'crash-report';

const isLapsable = (fact: Fact | undefined): boolean =>
  (fact?.kind === 'target' && !fact.target.leaving) || fact?.kind === 'instance';

const isLeaving = (fact: Fact | undefined): boolean =>
  fact?.kind === 'target' && fact.target.leaving;

/** Beliefs behind the hold. Times on the steady clock, ms. */
export class IncomingFacts {
  private readonly held = new Map<string, FactChange>();

  /** Facts that the store lacks, as they stood when it last had them. */
  private readonly lost = new Map<string, FactRecord>();

  private holdUntil = 0;

  private releasing: NodeJS.Timeout | undefined;

  /** Facts that were removed and that an older copy of the store brought back. */
  private readonly doubted = new Map<string, FactRecord>();

  constructor(
    private readonly beliefs: Beliefs,
    private readonly now: () => number,
    private readonly storeReached: () => boolean,
  ) {}

  /** Holds removals from now on; what is still missing when that ends is gone. */
  hold(): void {
    this.holdUntil = this.now() + LAPSE_HOLD_MS;
    this.releasing ??= setTimeout(() => this.release(), LAPSE_HOLD_MS);
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

  /** Takes a list, unless a later state is known; what it lacks was removed. */
  takeList(list: FactList): boolean {
    const { beliefs } = this;
    if (beliefs.revision === 0) this.takeFirst(list);
    else if (list.epoch > beliefs.epoch) this.takeRestored(list);
    else if (list.epoch < beliefs.epoch || list.revision < beliefs.revision) return false;
    else this.takeCurrent(list);
    list.records.forEach((record) => this.takeListed(record));
    this.takeMissing(list);
    beliefs.advance(list.revision);
    return true;
  }

  /** What is believed, for a peer: what the store lacks stands apart, since no change will tell of its removal. */
  list(): FactList {
    const { beliefs, held } = this;
    const isMissing = ({ key, revision }: FactRecord) => revision === 0 || held.has(key);
    const { records, ...moment } = beliefs.list();
    const missing = records.filter(isMissing);
    return {
      ...moment,
      records: records.filter((record) => !isMissing(record)),
      ...(missing.length > 0 ? { missing } : {}),
      ...(this.doubted.size > 0 ? { doubted: [...this.doubted.values()] } : {}),
    };
  }

  private takeFirst(list: FactList): void {
    this.beliefs.startEpoch(list);
    this.takeDoubted(list);
  }

  /** Removes what a list of the same epoch lacks. */
  private takeCurrent(list: FactList): void {
    const { beliefs } = this;
    const { records, revision, missing = [] } = list;
    const listed = new Set(records.map(({ key }) => key));
    this.doubted.forEach((_, key) => {
      if (!listed.has(key)) this.doubted.delete(key);
    });
    this.takeDoubted(list);
    const heldByPeer = new Set(missing.map(({ key }) => key));
    // What stands at no revision is missing already, and its removal held.
    const gone = beliefs.missingFrom(list).filter((key) => beliefs.revisionOf(key) > 0);
    gone
      .filter((key) => !heldByPeer.has(key))
      .forEach((key) => this.take({ key, revision, removed: true }));
    gone.filter((key) => heldByPeer.has(key)).forEach((key) => this.miss(key, revision));
  }

  /** Moves all that is known to the epoch of a list, by the revisions there. */
  private takeRestored(list: FactList): void {
    const { beliefs } = this;
    const followed = beliefs.moment;
    this.doubted.clear();
    this.takeDoubted(list);
    const missing = beliefs.missingFrom(list);
    beliefs.startEpoch(list);
    this.held.clear();
    this.hold();
    const outdated = list.records.filter((record) => this.judge(record) === 'outdated');
    missing.forEach((key) => this.miss(key, list.revision));
    beliefs.restored({ ...beliefs.moment, followed, missing, outdated });
  }

  private judge(listed: FactRecord): Standing {
    const { beliefs } = this;
    const { key, revision } = listed;
    const held = beliefs.recordOf(key);
    this.lost.delete(key);
    const standing = standingOf(listed, held, beliefs.removed.get(key));
    if (standing === 'news') beliefs.put(listed);
    else if (held) beliefs.rebase(key, revision);
    else this.doubt(listed);
    return standing;
  }

  /** Takes a listed record, unless it is one that has been removed. */
  private takeListed(listed: FactRecord): void {
    const { beliefs } = this;
    const { key } = listed;
    const removed = beliefs.holds(key) ? undefined : beliefs.removed.get(key);
    if (removed && standingOf(listed, undefined, removed) === 'outdated') this.doubt(listed);
    else this.take(listed);
  }

  /** Takes a peer's word that facts were removed before the store's return. */
  private takeDoubted({ doubted = [] }: FactList): void {
    doubted.forEach((record) => {
      this.beliefs.remove(record.key, record.revision);
      this.doubt(record);
    });
  }

  /** Doubts a fact for a while, and believes it in the end if it still stands; a target that was leaving does not come back. */
  private doubt(listed: FactRecord): void {
    const { beliefs, doubted } = this;
    const { key } = listed;
    if (doubted.has(key)) return;
    // Told apart from an earlier doubt of the same record.
    const record = { ...listed };
    doubted.set(key, record);
    const doubtMs = record.fact.kind === 'instance' ? INSTANCE_DOUBT_MS : DOUBT_MS;
    setTimeout(() => {
      if (doubted.get(key) !== record) return;
      doubted.delete(key);
      if (!isLeaving(beliefs.removed.get(key)?.fact)) beliefs.put(record);
    }, doubtMs).unref();
  }

  /** Holds the removal of a fact that the store lacks. */
  private miss(key: string, revision: number): void {
    const record = this.beliefs.recordOf(key);
    if (record && record.revision > 0) this.lost.set(key, record);
    this.beliefs.rebase(key, 0);
    if (isKept(this.beliefs.factOf(key))) return;
    this.held.set(key, { key, revision, removed: true });
    this.hold();
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
    const { key, revision } = change;
    if (revision > (this.doubted.get(key)?.revision ?? 0)) this.doubted.delete(key);
    if (this.doubted.has(key)) return;
    const fact = this.beliefs.factOf(key);
    if ('removed' in change && isLapsable(fact) && this.now() < this.holdUntil) {
      this.held.set(key, change);
      return;
    }
    this.held.delete(key);
    this.lost.delete(key);
    this.beliefs.take(change);
  }

  private release(): void {
    this.releasing = undefined;
    // Nothing can be written again while the store is away once more.
    const leftMs = this.storeReached() ? this.holdUntil - this.now() : LOOK_AGAIN_MS;
    if (leftMs > 0) {
      this.releasing = setTimeout(() => this.release(), leftMs);
      return;
    }
    this.held.forEach((change, key) => {
      this.beliefs.take(change);
      const lost = this.lost.get(key);
      if (lost) this.beliefs.removed.note(lost);
    });
    this.held.clear();
    this.lost.clear();
  }
}
