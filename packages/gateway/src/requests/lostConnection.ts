/** Records requests whose connection ended before their response was complete. */
import type { IncomingMessage } from 'node:http';
import type { CloseReason } from '@cardamomladder/http-json';
import { closeReasonOf } from '@cardamomladder/http-json';
import type { GatewayMetrics, LogFields } from '@cardamomladder/telemetry';
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

const timingOf = (
  { sends, arrivedAt, deadlineAt, lastSentAt }: AbandonedRequest,
  now: number,
): LogFields => ({
  sends,
  waitedMs: Math.round(now - arrivedAt),
  sinceSendMs: lastSentAt === undefined ? undefined : Math.round(now - lastSentAt),
  allowedMs: deadlineAt === undefined ? undefined : Math.round(deadlineAt - arrivedAt),
});

const progressOf = ({ sends }: AbandonedRequest): 'sent' | 'unsent' =>
  sends > 0 ? 'sent' : 'unsent';

/** Writes the log line of a request that this instance did not let end, and counts it. */
export const recordCut = (
  id: string | undefined,
  reason: CloseReason,
  request: AbandonedRequest,
  { metrics, log, endsAt, now }: LossRecorder,
): void => {
  const { arrivedAt, isAnswered = false } = request;
  metrics.requestsCut.inc({ reason, request: progressOf(request) });
  const leftAtArrivalMs = Number.isFinite(endsAt()) ? Math.round(endsAt() - arrivedAt) : undefined;
  log.write('cut', id, { reason, isAnswered, ...timingOf(request, now()), leftAtArrivalMs });
};

/** Records a request whose connection has ended: as cut if this instance closed it. */
export const recordLostConnection = (
  id: string | undefined,
  { socket }: Pick<IncomingMessage, 'socket'>,
  request: AbandonedRequest,
  recorder: LossRecorder,
): ConnectionLoss => {
  const reason = closeReasonOf(socket);
  if (reason !== undefined) {
    recordCut(id, reason, request, recorder);
    return 'cut';
  }
  const { metrics, log, now } = recorder;
  metrics.callersLeft.inc({ request: progressOf(request) });
  log.write('caller-left', id, timingOf(request, now()));
  return 'caller-left';
};
