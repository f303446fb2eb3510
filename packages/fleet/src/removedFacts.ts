/**
 * Facts removed of late. A store that comes back from an older copy has some
 * of them again until their writers remove them once more.
 */
import type { FactRecord } from './facts';

/** How long a removed fact is remembered, ms: far longer than a copy of the store is old. */
const REMEMBER_MS = 60_000;

/** Remembers removed facts by key. */
export class RemovedFacts {
  private readonly removed = new Map<string, { record: FactRecord; at: number }>();

  constructor(
    /** Steady clock, ms. */
    private readonly now: () => number,
  ) {}

  /** Notes that the fact under a key was removed; `record` as it last stood. */
  note(record: FactRecord): void {
    this.forget();
    this.removed.set(record.key, { record, at: this.now() });
  }

  /** Takes it that a fact stands under the key again. */
  back(key: string): void {
    this.removed.delete(key);
  }

  /** The fact that was removed under a key of late. */
  get(key: string): FactRecord | undefined {
    this.forget();
    return this.removed.get(key)?.record;
  }

  /** Drops what was removed long ago; the oldest come first. */
  private forget(): void {
    const since = this.now() - REMEMBER_MS;
    for (const [key, { at }] of this.removed) {
      if (at >= since) return;
      this.removed.delete(key);
    }
  }
}
