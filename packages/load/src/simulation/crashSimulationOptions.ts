/** Options and results of the crash simulation. */

/** Options of a crash simulation: the fleet, its load, and the faults to inject. */
export interface CrashSimulationOptions {
  seed: number;
  instances: number;
  targets: number;
  /** Rate of ordinary requests, per second. */
  rate: number;
  /** Fraction of the ordinary requests that are the same request from all callers. */
  popularShare?: number;
  durationMs: number;
  /** If false, no request is quarantined, as a baseline. Defaults to true. */
  quarantineEnabled?: boolean;
  /** Attempts of callers that ignore the retry delay; by default all callers honour it and make two attempts. */
  abusiveAttempts?: number;
  /** Requests that crash targets: rate, start time and number of callers of each. */
  crashingRequests?: { perSecond: number; fromMs: number; callers: number }[];
  /** Simultaneous crashes of a share of all targets that no request caused. */
  massCrashes?: { atMs: number; share: number }[];
  /** Power losses of a share of all targets: their connections are not closed. */
  powerLosses?: { atMs: number; share: number }[];
  /** Times at which all instances restart and load their state from the store. */
  restartsAtMs?: number[];
  /** Restores of the store from a backup, which lose the writes of the last `lostMs`. */
  storeRestores?: { atMs: number; lostMs: number }[];
  /** Network partition that cuts half of the instances off from the store. */
  partition?: { fromMs: number; toMs: number };
}

/** Results of a crash simulation. */
export interface CrashSimulationReport {
  ordinary: number;
  /** Ordinary requests that a target completed. */
  served: number;
  /** Ordinary requests that an instance wrongly rejected as crashing targets. */
  turnedAway: number;
  crashes: number;
  /**
   * Maximum, over all crashing requests, of the runs that instances connected to the store still
   * started after the time that the fleet may take to converge.
   */
  sentMore: number;
}
