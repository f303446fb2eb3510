/** Records a caller that left before its response was complete. */
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import type { DecisionLog } from '../decisionLog';

/** What had been done for the caller; times on the monotonic clock, ms. */
export interface AbandonedRequest {
  sends: number;
  arrivedAt: number;
  /** Unset if it was not decided yet how long the caller may wait. */
  deadlineAt?: number;
  lastSentAt?: number;
}

/** Writes the log line and counts the caller. */
export const recordCallerLeft = (
  id: string | undefined,
  { sends, arrivedAt, deadlineAt, lastSentAt }: AbandonedRequest,
  { metrics, log, now }: { metrics: GatewayMetrics; log: DecisionLog; now: () => number },
): void => {
  metrics.callersLeft.inc({ request: sends > 0 ? 'sent' : 'unsent' });
  log.write('caller-left', id, {
    sends,
    waitedMs: Math.round(now() - arrivedAt),
    sinceSendMs: lastSentAt === undefined ? undefined : Math.round(now() - lastSentAt),
    allowedMs: deadlineAt === undefined ? undefined : Math.round(deadlineAt - arrivedAt),
  });
};
