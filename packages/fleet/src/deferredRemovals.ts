/**
 * Holds removals for a while. Entries lapse while the store is away, or are
 * lost with its return from an older copy, and are written again within about
 * two seconds of its return; taking their removals at once would empty the
 * registry, and every request would be refused until they are back.
 */
import type { Beliefs } from './beliefs';
import type { FactChange, FactRecord } from './facts';

/** How long removals are held after an outage that no peer was spared, or the store's return from an older copy, ms. */
export const REMOVAL_HOLD_MS = 2200;
/** How often a hold that has run out looks whether the store is back, ms. */
const LOOK_AGAIN_MS = 100;

/** Removals that are not in force yet. Times on the steady clock, ms. */
export class HeldRemovals {
  private readonly held = new Map<string, FactChange>();

  /** Facts that the store lacks, as they stood when it last had them. */
  private readonly lost = new Map<string, FactRecord>();

  private holdUntil = 0;

  private releasing: NodeJS.Timeout | undefined;

  constructor(
    private readonly beliefs: Beliefs,
    private readonly now: () => number,
    private readonly storeHeard: () => boolean,
  ) {}

  /** True while removals are to be held. */
  get holding(): boolean {
    return this.now() < this.holdUntil;
  }

  /** Holds removals from now on; what is still missing when that ends is gone. */
  hold(): void {
    this.holdUntil = this.now() + REMOVAL_HOLD_MS;
    this.releasing ??= setTimeout(() => this.release(), REMOVAL_HOLD_MS);
  }

  /** Holds the removal of a fact. */
  add(removal: FactChange): void {
    this.held.set(removal.key, removal);
  }

  /** Remembers a fact that the store has lost as it stood last. */
  lose(record: FactRecord | undefined): void {
    if (record && record.revision > 0) this.lost.set(record.key, record);
  }

  /** Takes it that the fact under a key stands again, or its removal is in force. */
  settle(key: string): void {
    this.held.delete(key);
    this.lost.delete(key);
  }

  /** True while the removal of the fact under a key is held. */
  has(key: string): boolean {
    return this.held.has(key);
  }

  /** Drops the removals that are held: a list shows what stands. */
  clear(): void {
    this.held.clear();
  }

  private release(): void {
    this.releasing = undefined;
    // Nothing can be written again while the store is away once more.
    const leftMs = this.storeHeard() ? this.holdUntil - this.now() : LOOK_AGAIN_MS;
    if (leftMs > 0) {
      this.releasing = setTimeout(() => this.release(), leftMs);
      return;
    }
    this.held.forEach((change, key) => {
      this.beliefs.take(change);
      const lost = this.lost.get(key);
      if (lost) this.beliefs.removed.set(key, lost);
    });
    this.held.clear();
    this.lost.clear();
  }
}
