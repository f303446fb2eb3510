/**
 * Requests that targets answered of late, whoever asked. What many callers
 * ask, such as the list of open visits, is under way at most targets at any
 * moment: when several of them crash at once for another cause, it was there
 * each time, and would be blamed if it were not known to be answered every
 * second.
 */
import { LRUCache } from 'lru-cache';
import type { RequestDigest } from '@cardamomladder/types';

/** Answers remembered: 10 s of an instance's at 200 requests a second; what many ask is among the latest of them at any rate. */
const ANSWERS_KEPT = 2000;
/** How long an answer counts, ms: what is asked by many is answered far more often, and a request that began to crash targets is suspected soon after. */
const ANSWER_COUNTS_MS = 10_000;

/** The requests answered of late at this instance. */
export class AnsweredLately {
  private readonly answeredAt = new LRUCache<RequestDigest, number>({ max: ANSWERS_KEPT });

  constructor(private readonly now: () => number) {}

  /** Notes that a target answered a request. */
  note(request: RequestDigest): void {
    this.answeredAt.set(request, this.now());
  }

  /** True when a target answered the request lately. */
  has(request: RequestDigest): boolean {
    const at = this.answeredAt.get(request);
    return at !== undefined && this.now() - at <= ANSWER_COUNTS_MS;
  }
}
