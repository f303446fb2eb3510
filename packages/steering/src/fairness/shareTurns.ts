/** Picks a claimant's requests that are within its share, and tells the others when to return. */

/** A claimant's requests at this instance. Times in ms. */
interface Turns {
  /** Requests that may still go; those of callers that return may run it below 0 to -1. */
  credit: number;
  /** When the last of those that were told to return is within the share. */
  lastTurnAt: number;
  refused: number;
}

/** One request of a claimant that wants more than its share. */
export interface TurnRequest {
  claimant: string;
  /** The part of its requests that is within the share. */
  fraction: number;
  /** Its requests per second at this instance. */
  requestsPerSecond: number;
  /** True if its caller was turned away before. */
  returns: boolean;
  /** Time that its caller has left, ms. */
  timeLeftMs: number;
}

/** Least Retry-After, ms: about one round trip between regions. */
const MIN_RETRY_AFTER_MS = 50;
/** Callers return at least twice in the time they have left. */
const MAX_RETRY_PART = 1 / 3;
const MS_PER_SECOND = 1000;
/** Places successive numbers evenly in [0, 1). */
const GOLDEN_RATIO = 0.618034;

/** Divides the requests of claimants by error diffusion, so that each instance passes the same part of them. */
export class ShareTurns {
  private readonly claimants = new Map<string, Turns>();

  /** `phaseOf` gives a claimant's first credit in [0, 1), so that instances with few requests do not all refuse the first. */
  constructor(private readonly phaseOf: (claimant: string) => number) {}

  /** Returns 0 if the request may go, or else after how long to return, ms. */
  take(request: TurnRequest, now: number): number {
    const { claimant, fraction, returns } = request;
    const turns = this.claimants.get(claimant) ?? {
      credit: this.phaseOf(claimant),
      lastTurnAt: now,
      refused: 0,
    };
    this.claimants.set(claimant, turns);
    turns.credit = Math.min(turns.credit + fraction, 1 + fraction);
    if (turns.credit < (returns ? 0 : 1)) return this.retryAfterMs(turns, request, now);
    turns.credit -= 1;
    return 0;
  }

  /** Forgets all claimants at the end of a contention. */
  clear(): void {
    this.claimants.clear();
  }

  private retryAfterMs(
    turns: Turns,
    { fraction, requestsPerSecond, timeLeftMs }: TurnRequest,
    now: number,
  ): number {
    const longestMs = Math.max(MIN_RETRY_AFTER_MS, timeLeftMs * MAX_RETRY_PART);
    const perTurnMs = MS_PER_SECOND / Math.max(fraction * requestsPerSecond, Number.MIN_VALUE);
    const turnMs = Math.max(0, turns.lastTurnAt - now) + perTurnMs;
    const refused = turns.refused + 1;
    const waitMs = Math.min(turnMs, longestMs);
    Object.assign(turns, { refused, lastTurnAt: now + waitMs });
    if (turnMs <= longestMs) return Math.max(MIN_RETRY_AFTER_MS, waitMs);
    const spread = (refused * GOLDEN_RATIO) % 1;
    return Math.max(MIN_RETRY_AFTER_MS, longestMs * (1 - spread / 2));
  }
}
