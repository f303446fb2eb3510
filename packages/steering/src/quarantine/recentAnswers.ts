/**
 * Tracks the requests that targets answered recently, for any caller. A request that
 * many callers make is in flight at most targets at any moment. When several targets
 * crash at once for another cause, it was in flight each time and would be blamed if it
 * were not known to be answered every second.
 */
import { LRUCache } from 'lru-cache';
import type { RequestDigest } from '@cardamomladder/types';

/**
 * Maximum number of answers kept: 10 s of an instance's answers at 200 requests per
 * second. At any rate, requests that many callers make are among the most recent.
 */
const MAX_ANSWERS = 2000;
/**
 * How long an answer counts, ms: requests that many callers make are answered far more
 * often, and a request that starts to crash targets is suspected soon after.
 */
const ANSWER_TTL_MS = 10_000;

/** The requests answered recently at this instance. */
export class RecentAnswers {
  private readonly answeredAt = new LRUCache<RequestDigest, number>({ max: MAX_ANSWERS });

  constructor(private readonly now: () => number) {}

  /** Records that a target answered a request. */
  add(request: RequestDigest): void {
    this.answeredAt.set(request, this.now());
  }

  /** Returns true if a target answered the request recently. */
  has(request: RequestDigest): boolean {
    const answeredAt = this.answeredAt.get(request);
    return answeredAt !== undefined && this.now() - answeredAt <= ANSWER_TTL_MS;
  }
}
