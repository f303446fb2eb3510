/**
 * Counts events in a sliding window, using a fixed number of buckets so that memory
 * use does not depend on the rate. The count covers the window plus at most one
 * bucket, so it errs on the high side, which keeps limits safe.
 */
export class SlidingWindowCounter {
  /** Allocated at the first event: most targets that an instance knows have none. */
  private counts: number[] | undefined;

  private head = 0;

  constructor(
    private readonly windowMs: number,
    private readonly buckets = 20,
  ) {}

  /** Counts `n` events at `now` (in milliseconds). */
  add(now: number, n = 1): void {
    this.counts ??= new Array<number>(this.buckets + 1).fill(0);
    this.advance(now);
    this.counts[this.head % this.counts.length] += n;
  }

  /** Returns the events in the window that ends at `now` (in milliseconds). */
  total(now: number): number {
    if (!this.counts) return 0;
    this.advance(now);
    return this.counts.reduce((sum, n) => sum + n, 0);
  }

  private advance(now: number): void {
    const bucket = Math.floor(now / (this.windowMs / this.buckets));
    if (!this.counts || bucket <= this.head) return;
    const steps = Math.min(bucket - this.head, this.counts.length);
    for (let i = 0; i < steps; i += 1) this.counts[(bucket - i) % this.counts.length] = 0;
    this.head = bucket;
  }
}
