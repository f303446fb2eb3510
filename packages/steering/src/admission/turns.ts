/**
 * Turns: the moments at which refused callers are told to come back. With one constant
 * all that are refused in a burst come back in a burst, and most are refused again.
 * Turns are spaced at the rate at which the service's requests are placed. While a caller
 * can still be answered within its objective, no turn is later than that allows: a later
 * one would be kept for an answer that is worth little.
 */

/** Shortest Retry-After, ms: about one round trip between regions. */
export const MIN_TURN_MS = 50;
/** Callers come back within this share of the time that they have left, or not at all. */
export const MAX_TURN_SHARE = 1 / 3;
/** How much earlier than told a caller may come back, ms: it rounds to milliseconds. */
const EARLY_MS = 10;
/** How long a turn is kept for a caller that comes later, ms. */
const KEPT_MS = 1000;
/** Maximum number of turns that are kept. */
const MAX_KEPT = 4096;

/** The situation of a refused caller. Times on the monotonic clock, ms. */
export interface TurnRequest {
  now: number;
  deadlineAt: number;
  /** When the objective is missed; undefined if there is none. */
  objectiveAt: number | undefined;
  /** The service's usual response time. */
  usualMs: number;
  /** Interval at which the service's requests are placed; Infinity if none was lately. */
  spacingMs: number;
  /** Number of waiting requests. */
  waiting: number;
}

/** When a refused caller is told to come back. */
export interface Turn {
  at: number;
  retryAfterMs: number;
  /** False if no turn was left within the time that the caller has; nothing is kept for it. */
  reserved: boolean;
}

interface KeptTurn {
  at: number;
  firstAskedAt: number;
}

/** The turns of one service at one instance. */
export class Turns {
  private lastAt: number | undefined;

  private readonly kept = new Map<string, KeptTurn>();

  /** Gives the next free turn, or the longest Retry-After that is still of use. */
  give({ now, deadlineAt, objectiveAt = 0, usualMs, spacingMs, waiting }: TurnRequest): Turn {
    const leftMs = deadlineAt - now;
    const inTimeMs = objectiveAt - now - usualMs;
    const usefulMs = inTimeMs >= MIN_TURN_MS ? inTimeMs : leftMs - usualMs;
    const longestMs = Math.max(MIN_TURN_MS, Math.min(leftMs * MAX_TURN_SHARE, usefulMs));
    const at = Math.max(
      now + MIN_TURN_MS,
      this.lastAt === undefined ? 0 : this.lastAt + spacingMs,
      now + (waiting + 1) * spacingMs,
    );
    if (at - now > longestMs)
      return { at: now + longestMs, retryAfterMs: longestMs, reserved: false };
    this.lastAt = at;
    return { at, retryAfterMs: at - now, reserved: true };
  }

  /** Keeps a turn for the caller and request with this digest. */
  keep(digest: string, { at }: Turn, firstAskedAt: number): void {
    this.kept.delete(digest);
    this.kept.set(digest, { at, firstAskedAt });
    const [oldest] = this.kept.keys();
    if (this.kept.size > MAX_KEPT) this.kept.delete(oldest);
  }

  /** True while turns are kept, so that arriving requests are worth a digest. */
  isAnyKept(now: number): boolean {
    [...this.expired(now)].forEach((digest) => this.kept.delete(digest));
    return this.kept.size > 0;
  }

  /** When the caller first asked, if it returns as told; its turn is used up. */
  take(digest: string, now: number): number | undefined {
    const turn = this.kept.get(digest);
    if (!turn || now < turn.at - EARLY_MS || now > turn.at + KEPT_MS) return undefined;
    this.kept.delete(digest);
    return turn.firstAskedAt;
  }

  /** Turns are kept in the order of their times. */
  private *expired(now: number): Iterable<string> {
    for (const [digest, { at }] of this.kept) {
      if (now <= at + KEPT_MS) return;
      yield digest;
    }
  }
}
