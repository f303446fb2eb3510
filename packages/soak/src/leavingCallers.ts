/**
 * Checks that nothing is done for callers that have left, and that connections on which
 * bytes come without end are closed, by what targets and callers observed.
 */
import type { FaultHistory } from './faultHistory';
import type { Violation } from './guarantees';

/** Time after a caller's close within which its requests may still arrive or be worked on, ms: 500 ms, plus 0.5 s for delays of the test machine. */
const LEAVE_BOUND_MS = 1000;

/** A request whose caller left before it was answered; times in ms on one monotonic clock. */
export interface AbandonedRequest {
  id: string;
  instance: string;
  sentAt: number;
  closedAt: number;
}

/** What a target observed of a request. */
export interface TargetVisit {
  id: string;
  target: string;
  arrivedAt: number;
  /** When the target's work ended; unset if it has not ended, or never began. */
  endedAt?: number;
  /** True if the target began to work on it. */
  hasRun: boolean;
}

/** A connection on which bytes came without end. */
export interface EndlessConnection {
  /** What sent them. */
  sender: string;
  startedAt: number;
  /** Unset if it was never closed. */
  closedAt?: number;
  /** Time after which it must be closed, ms. */
  maxMs: number;
}

/** Collects callers that left, and reports violations of the guarantees. */
export class LeavingCallerChecker {
  private readonly abandoned = new Map<string, AbandonedRequest>();

  constructor(
    private readonly faultHistory: FaultHistory,
    private readonly reportViolation: (
      guarantee: Violation['guarantee'],
      subject: string,
      detail: string,
    ) => void,
  ) {}

  get count(): number {
    return this.abandoned.size;
  }

  recordLeaving(request: AbandonedRequest): void {
    this.abandoned.set(request.id, request);
  }

  /** Checks what a target observed; `isCutOff` tells whether an instance was cut off from targets, so that bytes waited in links. */
  checkVisit(
    { id, target, arrivedAt, endedAt = Infinity, hasRun }: TargetVisit,
    isCutOff: (instance: string, from: number, to: number) => boolean,
  ): void {
    const request = this.abandoned.get(id);
    if (!request) return;
    const { instance, sentAt, closedAt } = request;
    if (!this.faultHistory.unaffected([target], sentAt, arrivedAt)) return;
    if (isCutOff(instance, sentAt, arrivedAt)) return;
    if (arrivedAt > closedAt + LEAVE_BOUND_MS)
      this.reportViolation(
        'gone',
        id,
        `reached ${target} ${Math.round(arrivedAt - closedAt)} ms after its caller had left ${instance}`,
      );
    const lastAt = closedAt + LEAVE_BOUND_MS;
    // A late instance can't end work before it reads the close.
    const isExcused = !this.faultHistory.unaffected([instance, target], sentAt, lastAt);
    if (hasRun && !isExcused && endedAt > lastAt)
      this.reportViolation(
        'gone',
        id,
        `${target} worked on it until ${Math.round(endedAt - closedAt)} ms after its caller had left ${instance}`,
      );
  }

  /** Checks a connection on which bytes came without end; `now` is the time of the check. */
  checkEndless(
    { sender, startedAt, closedAt, maxMs }: EndlessConnection,
    instance: string,
    now: number,
  ): void {
    const openMs = (closedAt ?? now) - startedAt;
    if (openMs <= maxMs) return;
    if (!this.faultHistory.unaffected([instance], startedAt, startedAt + maxMs)) return;
    this.reportViolation(
      'endless',
      `${sender} at ${Math.round(startedAt)}`,
      `open for ${Math.round(openMs)} ms, ${maxMs} ms allowed`,
    );
  }
}
