/** A map whose entries expire a fixed time after they were set. */
export class ExpiringMap<Key, Value> {
  private readonly entries = new Map<Key, { value: Value; at: number }>();

  constructor(
    private readonly ttlMs: number,
    /** Monotonic clock, ms. */
    private readonly now: () => number,
  ) {}

  /** Sets a value and restarts its time to live. */
  set(key: Key, value: Value): void {
    this.evictExpired();
    this.entries.delete(key);
    this.entries.set(key, { value, at: this.now() });
  }

  /** Returns the value for a key, or undefined if it is missing or expired. */
  get(key: Key): Value | undefined {
    this.evictExpired();
    return this.entries.get(key)?.value;
  }

  delete(key: Key): void {
    this.entries.delete(key);
  }

  /** Entries are ordered by age, since `set` moves a key to the end; iteration stops at the first unexpired one. */
  private evictExpired(): void {
    const oldestKept = this.now() - this.ttlMs;
    for (const [key, { at }] of this.entries) {
      if (at >= oldestKept) return;
      this.entries.delete(key);
    }
  }
}
