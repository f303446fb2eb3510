/** Applies what simulated targets advertise in their responses. */
import type { LimitObservation, TargetState } from '@cardamomladder/steering';

/** Applies the limit and the pause that a target advertises in a response. */
export const applyTargetSignals = (
  { selfReport }: TargetState,
  observation: LimitObservation,
  pauseMs: number | undefined,
  now: number,
): void => {
  selfReport.limit.observe(observation, now);
  if (observation.ran || pauseMs === undefined) return;
  Object.assign(selfReport, { pausedUntil: Math.max(selfReport.pausedUntil, now + pauseMs) });
};
