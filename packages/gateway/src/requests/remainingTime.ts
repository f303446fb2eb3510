/**
 * Decides whether a request can be answered before this process ends. A request that is
 * still open when the process ends loses its connection, and its caller doesn't know
 * whether it ran; one that is refused can go to another instance at once.
 */
import { responsesBefore } from '../server/callerConnections';
import { executionOf } from './openRequests';
import type { RequestExecution } from './requestExecution';

/** Reason for rejecting a request that can't be answered before this process ends. */
export const STOPPING = 'stopping';

/** What decides whether a request is answered in time; all in ms. */
export interface RemainingTime {
  /** Until this process ends. */
  leftMs: number;
  /** Until the request's deadline, when it is answered in any case. */
  allowedMs: number;
  /** Within which nearly all requests of its kind are answered; undefined if unknown. */
  workMs: number | undefined;
  /** Within which the requests before it on its connection, whose answers go first, are answered. */
  aheadMs: number;
  /** Within which nearly all answers have been passed on to their callers. */
  deliveryMs: number;
}

/** Within which a request in progress is answered, ms: the estimate for its kind, or its deadline once that is exceeded. */
const untilAnswered = (
  { request, ctx, isAnswered, workStartedAt }: RequestExecution,
  now: number,
): number => {
  if (isAnswered) return 0;
  const { work } = ctx.registry.forService(request.service).responseTails[request.route.kind];
  const expectedMs = (work.estimateAt(now) ?? 0) - (now - (workStartedAt ?? now));
  const allowedMs = Math.max(0, request.deadlineAt - now);
  return expectedMs > 0 ? Math.min(expectedMs, allowedMs) : allowedMs;
};

/** The remaining time of a request; undefined unless this process is about to end. */
export const remainingTime = ({
  request,
  res,
  ctx,
}: RequestExecution): RemainingTime | undefined => {
  const now = ctx.now();
  const leftMs = ctx.endsAt() - now;
  if (leftMs === Infinity) return undefined;
  const { work, delivery } = ctx.registry.forService(request.service).responseTails[
    request.route.kind
  ];
  return {
    leftMs,
    allowedMs: request.deadlineAt - now,
    workMs: work.estimateAt(now),
    aheadMs: responsesBefore(res).reduce((longest, before) => {
      const execution = executionOf(before);
      if (!execution || before.writableEnded) return longest;
      return Math.max(longest, untilAnswered(execution, now));
    }, 0),
    deliveryMs: delivery.estimateAt(now) ?? 0,
  };
};

/** True if a request that is sent now is answered before the process ends. */
export const finishesInTime = ({
  leftMs,
  allowedMs,
  workMs = Infinity,
  aheadMs,
  deliveryMs,
}: RemainingTime): boolean => Math.max(Math.min(allowedMs, workMs), aheadMs) + deliveryMs <= leftMs;
