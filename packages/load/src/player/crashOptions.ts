/** What is set and told of a play of crashing targets. */

/** What crashes targets in a play, and when. */
export interface PlayedCrashes {
  seed: number;
  instances: number;
  targets: number;
  /** Ordinary requests a second. */
  rate: number;
  /** Part of them that all callers ask alike. */
  popular?: number;
  lengthMs: number;
  /** False: no request is held, for comparison. */
  quarantined?: boolean;
  /** Attempts of callers that do not wait as told; by default all wait, and make two. */
  abusiveAttempts?: number;
  /** Requests that crash their targets: how often each comes, from when on, and from how many callers. */
  crashing?: { perSecond: number; fromMs: number; callers: number }[];
  /** Parts of all targets that crash at once for another cause. */
  massCrashes?: { atMs: number; share: number }[];
  /** Targets that lose power, without a word to anybody. */
  powerLosses?: { atMs: number; share: number }[];
  /** All instances start anew, with what the store has. */
  restartsAtMs?: number[];
  /** The store comes back from copies so old, ms. */
  restores?: { atMs: number; lostMs: number }[];
  /** Half of the instances neither reach the store nor hear of it. */
  apart?: { fromMs: number; toMs: number };
}

/** What became of the requests. */
export interface CrashPlayReport {
  ordinary: number;
  /** Ordinary requests that a target answered. */
  served: number;
  /** Ordinary requests that an instance turned away as crashing targets. */
  turnedAway: number;
  crashes: number;
  /** Most runs of one crashing request that began later than the fleet may take to agree, sent by instances that reach the store. */
  sentMore: number;
}
