/**
 * Divides a customer's limit across the fleet.
 *
 * The limit must hold for all instances together in any time window, also while
 * instances are partitioned, killed and restarted. A small guaranteed part is
 * divided evenly among the instances that callers are sent to and is used
 * without coordination. One instance lends tokens for the whole limit, less
 * what is used of the guaranteed part, to the instances that have the
 * customer's callers. An instance that is cut off keeps its guaranteed share
 * and the tokens it holds; the tolerance beyond the limit covers these.
 */
import type { RateLimit } from '../customer';

/** Requests tolerated beyond a limit in any window of `windowMs`, as configured by the operators. */
export interface QuotaTolerance {
  windowMs: number;
  /** Fraction of the limit. */
  overage: number;
  /** Additional requests, independent of the limit. */
  slack: number;
}

/** The parts of a limit, each for the whole fleet. */
export interface QuotaParts {
  /** Divided evenly among the instances. */
  guaranteed: RateLimit;
  /** Lent on demand; tokens used from the guaranteed shares are deducted from it. */
  pool: RateLimit;
  /** Tokens in the pool after a start, when earlier use is not known. */
  initialPoolTokens: number;
  /** Maximum number of requests that the pool may admit in one window. */
  maxPoolPerWindow: number;
  /** Maximum number of tokens lent beyond the pool's burst because tokens are whole. */
  maxExtraTokens: number;
}

/** Fraction of the limit that is divided evenly; all that a customer has while there is no lender. */
const GUARANTEED_FRACTION = 0.2;
/**
 * Fractions of the requests tolerated beyond the limit in a window that each part
 * uses. Without `guaranteedRate`, which the pool's tokens are debited for, they add
 * up to 1: after all instances were killed, nobody knows what was admitted before,
 * and a window may contain the full use of every other part.
 */
const TOLERANCE_FRACTIONS = {
  guaranteedBurst: 0.2,
  guaranteedRate: 0.1,
  poolBurst: 0.3,
  extraTokens: 0.3,
  initialPool: 0.2,
};
/** Fraction of the requests tolerated in a window that may be admitted. */
const WINDOW_FRACTION = 0.95;
const MS_PER_SECOND = 1000;

/** Divides a limit into its guaranteed and lent parts. */
export const quotaParts = (
  { perSecond, burst }: RateLimit,
  { windowMs, overage, slack }: QuotaTolerance,
): QuotaParts => {
  const seconds = windowMs / MS_PER_SECOND;
  const tolerated = overage * (perSecond * seconds + burst) + slack;
  const limitFor = (
    limitFraction: number,
    rateFraction: number,
    burstFraction: number,
  ): RateLimit => ({
    perSecond: perSecond * limitFraction + (tolerated * rateFraction) / seconds,
    burst: burst * limitFraction + tolerated * burstFraction,
  });
  const { guaranteedBurst, guaranteedRate, poolBurst, extraTokens, initialPool } =
    TOLERANCE_FRACTIONS;
  const guaranteed = limitFor(GUARANTEED_FRACTION, guaranteedRate, guaranteedBurst);
  const maxPerWindow = (perSecond * seconds + burst + tolerated) * WINDOW_FRACTION;
  return {
    guaranteed,
    pool: limitFor(1, 0, poolBurst),
    maxExtraTokens: tolerated * extraTokens,
    initialPoolTokens: tolerated * initialPool,
    maxPoolPerWindow: maxPerWindow - guaranteed.perSecond * seconds - guaranteed.burst,
  };
};
