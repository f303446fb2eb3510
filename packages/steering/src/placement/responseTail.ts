/**
 * Estimates the time within which nearly all answers of a kind have been delivered. The
 * longest of a few responses is well below the longest of many, so it is extrapolated as
 * for an exponential tail: such a maximum grows with the logarithm of the number of
 * responses. Lighter tails are overestimated, and constant times are kept as they are.
 */

/** About one response in this many takes longer than the estimate. */
const EXCEEDED_BY_ONE_IN = 30_000;
/** Responses of the current and the previous window count, ms. */
const WINDOW_MS = 60_000;
/** Fewer responses show no spread. */
const MIN_RESPONSES = 2;

/** Response times of one window. */
interface Window {
  startedAt: number;
  count: number;
  sumMs: number;
  maxMs: number;
}

/** A request without its response. */
interface OpenRequest {
  since: number;
  deadlineAt: number;
}

/** A request whose response is awaited. */
export interface AwaitedResponse {
  /** Records the response time. */
  answered: (now: number) => void;
  /** Ends the wait without a response time; does nothing after `answered`. */
  discard: () => void;
}

const emptyWindow = (startedAt: number): Window => ({ startedAt, count: 0, sumMs: 0, maxMs: 0 });

/** The tail of recent response times. Times on the monotonic clock, ms. */
export class ResponseTail {
  private previous = emptyWindow(-Infinity);

  private current = emptyWindow(-Infinity);

  private readonly open = new Set<OpenRequest>();

  /** Records a response time. */
  record(ms: number, now: number): void {
    this.advance(now);
    const { current } = this;
    current.count += 1;
    current.sumMs += ms;
    current.maxMs = Math.max(current.maxMs, ms);
  }

  /** Starts waiting for the response to a request that ends at its deadline at the latest. */
  start(now: number, deadlineAt: number): AwaitedResponse {
    const request = { since: now, deadlineAt };
    this.open.add(request);
    return {
      answered: (at) => {
        if (this.open.delete(request)) this.record(at - request.since, at);
      },
      discard: () => this.open.delete(request),
    };
  }

  /** Time within which nearly all requests are answered, ms; undefined if too few responses are known. */
  estimateAt(now: number): number | undefined {
    this.advance(now);
    const { previous, current } = this;
    const count = previous.count + current.count;
    if (count < MIN_RESPONSES) return undefined;
    const longestOpenMs = [...this.open].reduce(
      (longest, { since, deadlineAt }) => Math.max(longest, Math.min(now, deadlineAt) - since),
      0,
    );
    const maxMs = Math.max(previous.maxMs, current.maxMs, longestOpenMs);
    if (count >= EXCEEDED_BY_ONE_IN) return maxMs;
    const meanMs = (previous.sumMs + current.sumMs) / count;
    const growth = Math.log(EXCEEDED_BY_ONE_IN / count) / Math.log(count);
    return maxMs + (maxMs - meanMs) * growth;
  }

  private advance(now: number): void {
    const ageMs = now - this.current.startedAt;
    if (ageMs < WINDOW_MS) return;
    this.previous = ageMs < 2 * WINDOW_MS ? this.current : emptyWindow(-Infinity);
    this.current = emptyWindow(now);
  }
}
