/** Checks that no part of an answer without a length looks whole to its caller, by what callers received and targets sent. */
import type { GuaranteeChecker } from './guarantees';

/** A request of a caller that checks every byte. */
export interface UnframedRequest {
  id: string;
  kind: 'lookup' | 'booking';
  instance: string;
  /** What the caller got; unset if nothing. */
  answer?: {
    status: number;
    /** The request id in the answer. */
    id: string;
    bytes: number;
    /** True if it looks whole: its whole length, its last chunk, or no length and an orderly end. */
    isWhole: boolean;
    /** True if the body is the target's whole body. */
    isExpected: boolean;
  };
}

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** Collects what callers received, and reports successes that look whole and aren't. */
export class UnframedAnswerChecker {
  private readonly requests = new Map<string, UnframedRequest>();

  private readonly sentWhole = new Set<string>();

  constructor(private readonly reportViolation: GuaranteeChecker['reportViolation']) {}

  /** Numbers of requests, of those served whole, and of failures although a target sent a whole answer without a length. */
  get counts() {
    const all = [...this.requests.values()];
    const isServed = ({ answer }: UnframedRequest): boolean =>
      answer !== undefined && isSuccess(answer.status) && answer.isWhole;
    const refused = all.filter((request) => this.sentWhole.has(request.id) && !isServed(request));
    const countOf = (requests: UnframedRequest[], kind: UnframedRequest['kind']): number =>
      requests.filter((request) => request.kind === kind).length;
    return {
      lookups: countOf(all, 'lookup'),
      bookings: countOf(all, 'booking'),
      served: all.filter(isServed).length,
      refusedLookups: countOf(refused, 'lookup'),
      refusedBookings: countOf(refused, 'booking'),
    };
  }

  /** Records that a target sent a whole answer without a length, and ended it in order. */
  recordSentWhole(id: string): void {
    this.sentWhole.add(id);
  }

  /** Records and checks what a caller got. */
  record(request: UnframedRequest): void {
    this.requests.set(request.id, request);
    const { id, instance, answer } = request;
    if (!answer || !isSuccess(answer.status) || !answer.isWhole) return;
    if (answer.id !== id)
      this.reportViolation('mixed', id, `the answer from ${instance} is that of ${answer.id}`);
    else if (!answer.isExpected)
      this.reportViolation(
        'mixed',
        id,
        `${answer.bytes} bytes from ${instance} look whole and aren't the target's body`,
      );
  }
}
