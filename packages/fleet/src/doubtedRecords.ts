/**
 * Facts that were removed, and that a store which came back from an older copy
 * has again: their writers may have gone, and remove them once more.
 */
import type { Beliefs } from './beliefs';
import type { Fact, FactChange, FactRecord } from './facts';
import { REGISTRATION_TTL_MS } from './registration';

/** A doubted fact is believed when it still stands after this, ms: three heartbeats, after which a silent writer's entry goes, and the time to hear of it. */
const DOUBT_MS = 10_000;
/** The same for an instance, whose entry goes with its lease. */
const INSTANCE_DOUBT_MS = REGISTRATION_TTL_MS + 1000;

const isLeaving = (fact: Fact | undefined): boolean =>
  fact?.kind === 'target' && fact.target.leaving;

/** Keeps what is doubted out of beliefs for a while. */
export class DoubtedFacts {
  private readonly doubted = new Map<string, FactRecord>();

  constructor(private readonly beliefs: Beliefs) {}

  /** The records in doubt, to tell a peer. */
  list(): FactRecord[] {
    return [...this.doubted.values()];
  }

  /** Doubts a record for a while, and believes it in the end if it still stands; a target that was leaving does not come back. */
  add(listed: FactRecord): void {
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

  /** True while `change` says no more of its key than what is in doubt; a later one ends the doubt. */
  covers({ key, revision }: FactChange): boolean {
    const record = this.doubted.get(key);
    if (!record) return false;
    if (revision <= record.revision) return true;
    this.doubted.delete(key);
    return false;
  }

  /** Ends the doubt of what a list lacks. */
  keepOnly(listed: ReadonlySet<string>): void {
    this.doubted.forEach((_, key) => {
      if (!listed.has(key)) this.doubted.delete(key);
    });
  }

  /** Ends all doubts. */
  clear(): void {
    this.doubted.clear();
  }
}
