/**
 * Counts the repeats of one service by second, so that the logs of all instances
 * together show what arrived in any window, and what it was charged to.
 */
import { SlidingWindowCounter } from '@cardamomladder/steering';
import type { ServiceName } from '@cardamomladder/types';

const SECOND_MS = 1000;

/** How a repeat was decided: from the budget, free since the last send reached no target, or refused. */
export type RepeatDecision = 'granted' | 'free' | 'refused';

/** The repeats of one second at this instance. */
export interface RepeatSecond extends Record<RepeatDecision, number> {
  service: ServiceName;
  /** How long ago the second began, ms. */
  agoMs: number;
  /** This instance's requests in the window that ends with the report. */
  requestsInWindow: number;
  /** Time since this instance started, ms. */
  upMs: number;
}

const NONE = { granted: 0, free: 0, refused: 0 };

/** Counts one service's repeats; reports each second in which there were any, at the next event. */
export class RepeatCounts {
  private readonly requests: SlidingWindowCounter;

  private secondStartedAt = -Infinity;

  private counts = { ...NONE };

  constructor(
    private readonly service: ServiceName,
    windowMs: number,
    private readonly startedAt: number,
    private readonly report: (second: RepeatSecond) => void,
  ) {
    this.requests = new SlidingWindowCounter(windowMs);
  }

  countRequest(now: number): void {
    this.reportEnded(now);
    this.requests.add(now);
  }

  countRepeat(decision: RepeatDecision, now: number): void {
    this.reportEnded(now);
    if (this.secondStartedAt === -Infinity) this.secondStartedAt = now;
    this.counts[decision] += 1;
  }

  private reportEnded(now: number): void {
    if (now - this.secondStartedAt < SECOND_MS || this.secondStartedAt === -Infinity) return;
    this.report({
      service: this.service,
      ...this.counts,
      agoMs: Math.round(now - this.secondStartedAt),
      requestsInWindow: this.requests.total(now),
      upMs: Math.round(now - this.startedAt),
    });
    this.secondStartedAt = -Infinity;
    this.counts = { ...NONE };
  }
}
