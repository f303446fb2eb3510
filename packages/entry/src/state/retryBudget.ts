/**
 * Limits retries to a fraction of the requests. If many targets fail at once,
 * unlimited retries would multiply the traffic to the remaining ones by up to
 * `maxAttempts` and overload them. Each request adds `retryRatio` tokens and each
 * retry takes one, so beyond the initial `maxTokens` retries stay below that
 * ratio; compare `retries_total` with the number of requests to check.
 */
export class RetryBudget {
  private tokens: number;

  constructor(
    private readonly retryRatio = 0.2,
    private readonly maxTokens = 50,
  ) {
    this.tokens = maxTokens;
  }

  /** Adds the tokens of one caller request. */
  deposit(): void {
    this.tokens = Math.min(this.maxTokens, this.tokens + this.retryRatio);
  }

  /** Takes one token for a retry; returns false, without taking one, if there is none left. */
  tryWithdraw(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
