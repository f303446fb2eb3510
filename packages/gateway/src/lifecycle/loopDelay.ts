/**
 * Monitors the event loop delay of this instance. On a machine that is slow,
 * overcommitted or was suspended, responses are processed late although the
 * targets and the store respond in time. In a fleet of two hundred instances,
 * the log of one on such a machine shows only long sends, as if the targets were
 * slow. A timer that fires late distinguishes the two cases.
 */
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import type { DecisionLog } from '../decisionLog';

/** Interval between checks of the event loop, ms: long enough that an idle process stays asleep. */
export const CHECK_INTERVAL_MS = 1000;
/** Delay from which a line is logged, ms: a quarter of the shortest latency objective in use, so callers notice it. */
export const LOG_THRESHOLD_MS = 100;

const MS_PER_SECOND = 1000;

/** Dependencies of the monitor. */
export interface LoopDelayOptions {
  now: () => number;
  log: DecisionLog;
  metrics: GatewayMetrics;
}

/** Starts monitoring the event loop; returns a function that stops it. */
export const monitorLoopDelay = ({ now, log, metrics }: LoopDelayOptions): (() => void) => {
  let dueAt = now() + CHECK_INTERVAL_MS;
  const timer = setInterval(() => {
    const lateMs = Math.max(0, now() - dueAt);
    dueAt = now() + CHECK_INTERVAL_MS;
    metrics.eventLoopDelay.set(lateMs / MS_PER_SECOND);
    if (lateMs >= LOG_THRESHOLD_MS)
      log.write('lifecycle', undefined, { event: 'running late', ms: Math.round(lateMs) });
  }, CHECK_INTERVAL_MS);
  timer.unref();
  return () => clearInterval(timer);
};
