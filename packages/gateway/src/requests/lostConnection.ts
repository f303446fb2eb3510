/** Records requests whose connection ended before their response was complete. */
import type { IncomingMessage } from 'node:http';
import { closeReasonOf } from '@cardamomladder/http-json';
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import type { DecisionLog } from '../decisionLog';

/** Who ended the connection: its caller, or this instance. */
export type ConnectionLoss = 'caller-left' | 'cut';

/** What had been done for the caller; times on the monotonic clock, ms. */
export interface AbandonedRequest {
  sends: number;
  arrivedAt: number;
  /** Unset if it was not decided yet how long the caller may wait. */
  deadlineAt?: number;
  lastSentAt?: number;
  /** True if its answer was being delivered. */
  isAnswered?: boolean;
}

/** Dependencies of the record. */
export interface LossRecorder {
  metrics: GatewayMetrics;
  log: DecisionLog;
  /** When this process ends; Infinity unless it is stopping. */
  endsAt: () => number;
  now: () => number;
}

/** Writes the log line and counts the request. */
export const recordLostConnection = (
  id: string | undefined,
  { socket }: Pick<IncomingMessage, 'socket'>,
  { sends, arrivedAt, deadlineAt, lastSentAt, isAnswered = false }: AbandonedRequest,
  { metrics, log, endsAt, now }: LossRecorder,
): ConnectionLoss => {
  const reason = closeReasonOf(socket);
  const request = sends > 0 ? 'sent' : 'unsent';
  const timing = {
    sends,
    waitedMs: Math.round(now() - arrivedAt),
    sinceSendMs: lastSentAt === undefined ? undefined : Math.round(now() - lastSentAt),
    allowedMs: deadlineAt === undefined ? undefined : Math.round(deadlineAt - arrivedAt),
  };
  if (reason === undefined) {
    metrics.callersLeft.inc({ request });
    log.write('caller-left', id, timing);
    return 'caller-left';
  }
  metrics.requestsCut.inc({ reason, request });
  const leftAtArrivalMs = Number.isFinite(endsAt()) ? Math.round(endsAt() - arrivedAt) : undefined;
  log.write('cut', id, { reason, isAnswered, ...timing, leftAtArrivalMs });
  return 'cut';
};
