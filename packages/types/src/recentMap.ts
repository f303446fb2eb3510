/** Values by key that are forgotten a while after they were set. */
export class RecentMap<Key, Value> {
  private readonly entries = new Map<Key, { value: Value; at: number }>();

  constructor(
    private readonly keptMs: number,
    /** Steady clock, ms. */
    private readonly now: () => number,
  ) {}

  /** Sets a value, for the whole time from now on. */
  set(key: Key, value: Value): void {
    this.forget();
    this.entries.delete(key);
    this.entries.set(key, { value, at: this.now() });
  }

  /** The value under a key, unless it was set too long ago. */
  get(key: Key): Value | undefined {
    this.forget();
    return this.entries.get(key)?.value;
  }

  /** Forgets a value at once. */
  delete(key: Key): void {
    this.entries.delete(key);
  }

  /** The oldest come first, as a key that is set again moves to the end. */
  private forget(): void {
    const since = this.now() - this.keptMs;
    for (const [key, { at }] of this.entries) {
      if (at >= since) return;
      this.entries.delete(key);
    }
  }
}
