/**
 * Notices that this instance runs late. A machine that turned slow, is starved
 * by its neighbours or was suspended answers everything late while every
 * target and the store look fine; in the logs of one of two hundred instances
 * only sends that take long would show, as if the targets were slow. A timer
 * that fires late tells the two apart.
 */
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import type { DecisionLog } from '../decisionLog';

/** How often the loop is looked at, ms: seldom enough that a loop with nothing to do stays asleep. */
export const LOOK_EVERY_MS = 1000;
/** From this delay on a line is written, ms: a quarter of the shortest objective in use, so that callers feel it. */
export const LATE_FROM_MS = 100;

const MS_PER_SECOND = 1000;

/** What the watch needs of the instance. */
export interface LoopDelayOptions {
  now: () => number;
  log: DecisionLog;
  metrics: GatewayMetrics;
}

/** Looks at the loop from now on; returns how to stop. */
export const watchLoopDelay = ({ now, log, metrics }: LoopDelayOptions): (() => void) => {
  let dueAt = now() + LOOK_EVERY_MS;
  const timer = setInterval(() => {
    const lateMs = Math.max(0, now() - dueAt);
    dueAt = now() + LOOK_EVERY_MS;
    metrics.loopDelay.set(lateMs / MS_PER_SECOND);
    if (lateMs >= LATE_FROM_MS)
      log.write('lifecycle', undefined, { event: 'running late', ms: Math.round(lateMs) });
  }, LOOK_EVERY_MS);
  timer.unref();
  return () => clearInterval(timer);
};
