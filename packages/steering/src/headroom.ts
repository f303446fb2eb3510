/**
 * Estimates target load from reports that can be delayed or missing. Targets
 * report their in-flight count with every response and on their load endpoint;
 * an entry also knows exactly how many of its own requests are in flight to
 * each target. When reports stop (network partition, overload, or a load
 * endpoint that stops responding), the estimate rises toward "full", so that
 * the entry moves work away from a target whose load it cannot observe.
 */

/** A target's most recent load report: busy slots at `at` (Unix time, ms). */
export interface TimedLoadReport {
  inflight: number;
  at: number;
}

/** Load of one target as known to an entry. */
export interface TargetLoad {
  slots: number;
  /** Requests from this entry that are in flight to the target. */
  localInflight: number;
  report?: TimedLoadReport;
}

/** Age limits for load reports. */
export interface StalenessLimits {
  /** Reports up to this age are used unchanged. */
  freshMs: number;
  /** Reports of at least this age count as "full". */
  staleMs: number;
  /** Busy fraction assumed for a target without any report. */
  unknownBusyFraction: number;
}

/** Reports arrive with every response, so a gap of 2 s already makes the last one doubtful. */
export const DEFAULT_STALENESS_LIMITS: StalenessLimits = {
  freshMs: 2000,
  staleMs: 10_000,
  unknownBusyFraction: 0.5,
};

/** Estimates the busy slots of a target at `now`. */
export const estimateBusySlots = (
  load: TargetLoad,
  now: number,
  staleness: StalenessLimits = DEFAULT_STALENESS_LIMITS,
): number => {
  if (!load.report) return Math.max(load.localInflight, load.slots * staleness.unknownBusyFraction);
  const age = now - load.report.at;
  const reported = Math.max(load.report.inflight, load.localInflight);
  if (age <= staleness.freshMs) return reported;
  const staleFraction = Math.min(
    1,
    (age - staleness.freshMs) / (staleness.staleMs - staleness.freshMs),
  );
  return reported + (load.slots - reported) * staleFraction;
};

/** Unused fraction of the targets' slots: 1 is idle, 0 is full, below 0 is overloaded. */
export const headroom = (
  loads: readonly TargetLoad[],
  now: number,
  staleness: StalenessLimits = DEFAULT_STALENESS_LIMITS,
): number => {
  const slots = loads.reduce((sum, l) => sum + l.slots, 0);
  if (slots === 0) return 0;
  const busy = loads.reduce((sum, l) => sum + estimateBusySlots(l, now, staleness), 0);
  return 1 - busy / slots;
};
