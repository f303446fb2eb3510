/**
 * A retry budget. When targets fail together, every request retrying turns a
 * fault into an overload: the fleet sends maxAttempts times the traffic to
 * what is left. Each request earns a fraction of a retry and each retry
 * spends one, so retries stay under that fraction of requests however bad
 * things get; `retries_total` against requests shows it.
 */
export class RetryBudget {
  private tokens: number;

  constructor(
    private readonly ratio = 0.2,
    private readonly cap = 50,
  ) {
    this.tokens = cap;
  }

  /** Called once per caller request. */
  earn(): void {
    this.tokens = Math.min(this.cap, this.tokens + this.ratio);
  }

  /** True if a retry may be made now; spends one token. */
  spend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
