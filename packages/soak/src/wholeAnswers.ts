/** Checks that callers that write before they have read get every answer whole, by what they received and what targets ran. */
import type { FaultHistory } from './faultHistory';
import type { Violation } from './guarantees';

/** A request that may have been written while answers before it were on their way; times in ms on one monotonic clock. */
export interface PipelinedRequest {
  id: string;
  instance: string;
  sentAt: number;
  /** When the caller had the answer, or its connection had ended. */
  endedAt: number;
  /** What the caller got; unset if nothing. */
  answer?: { status: number; bytes: number; isWhole: boolean; isExpected: boolean };
}

/** Collects what callers received, and reports answers that are missing, incomplete or of other requests. */
export class WholeAnswerChecker {
  private readonly unanswered = new Map<string, PipelinedRequest>();

  private requests = 0;

  constructor(
    private readonly faultHistory: FaultHistory,
    private readonly reportViolation: (
      guarantee: Violation['guarantee'],
      subject: string,
      detail: string,
    ) => void,
  ) {}

  get count(): number {
    return this.requests;
  }

  /** Records and checks what a caller got. */
  record(request: PipelinedRequest): void {
    this.requests += 1;
    const { id, instance, sentAt, endedAt, answer } = request;
    if (!answer) this.unanswered.set(id, request);
    else if (answer.isWhole && !answer.isExpected)
      this.reportViolation('mixed', id, 'the body is not that of the request');
    else if (!answer.isWhole && this.faultHistory.unaffected([instance], sentAt, endedAt))
      this.reportViolation(
        'whole',
        id,
        `${answer.bytes} bytes of an answer with status ${answer.status} from ${instance}`,
      );
  }

  /** Checks a request that a target ran. */
  checkRun(id: string, target: string): void {
    const request = this.unanswered.get(id);
    if (!request) return;
    const { instance, sentAt, endedAt } = request;
    if (this.faultHistory.unaffected([instance, target], sentAt, endedAt))
      this.reportViolation('lost', id, `ran at ${target}, no answer from ${instance}`);
  }
}
