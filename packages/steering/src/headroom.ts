/**
 * How busy a target is, from figures that lag or stop. Targets report their
 * in-flight count on every answer and on their load endpoint; an entry also
 * knows its own in-flight count to each target exactly. When reports stop
 * (the target is partitioned, overloaded, or its endpoint lies by silence),
 * the estimate decays toward "full", so the entry moves work away from what
 * it can no longer see rather than pile onto it.
 */

/** A target's last report: busy slots at a time, in ms since epoch. */
export interface LoadReport {
  inflight: number;
  at: number;
}

/** What an entry knows of one target's load. */
export interface TargetLoad {
  slots: number;
  /** Requests this entry has in flight to the target now. */
  local: number;
  report?: LoadReport;
}

/** How fast figures go stale. */
export interface Staleness {
  /** Reports younger than this are taken as they are. */
  freshMs: number;
  /** Reports older than this count as "full". */
  staleMs: number;
  /** Busy fraction assumed for a target that has never reported. */
  unknownBusy: number;
}

/** Defaults: reports arrive with every answer, so 2 s without one is already news. */
export const DEFAULT_STALENESS: Staleness = { freshMs: 2000, staleMs: 10_000, unknownBusy: 0.5 };

/** Estimated busy slots of a target at `now`. */
export const busySlots = (
  load: TargetLoad,
  now: number,
  staleness: Staleness = DEFAULT_STALENESS,
): number => {
  if (!load.report) return Math.max(load.local, load.slots * staleness.unknownBusy);
  const age = now - load.report.at;
  const reported = Math.max(load.report.inflight, load.local);
  if (age <= staleness.freshMs) return reported;
  const fade = Math.min(1, (age - staleness.freshMs) / (staleness.staleMs - staleness.freshMs));
  return reported + (load.slots - reported) * fade;
};

/** Spare fraction of a set of targets' slots: 1 idle, 0 full, below 0 overloaded. */
export const headroom = (
  loads: readonly TargetLoad[],
  now: number,
  staleness: Staleness = DEFAULT_STALENESS,
): number => {
  const slots = loads.reduce((sum, l) => sum + l.slots, 0);
  if (slots === 0) return 0;
  const busy = loads.reduce((sum, l) => sum + busySlots(l, now, staleness), 0);
  return 1 - busy / slots;
};
