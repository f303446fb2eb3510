/**
 * Decides whether a request is complete before this process ends, whatever its target
 * takes. Only what ends it in any case counts: how long requests usually take says nothing
 * about the one that takes longer, and that one would lose its connection while its target
 * works. A caller that is refused can go to another instance at once.
 */
import type { ServerResponse } from 'node:http';
import { responsesBefore } from '../server/callerConnections';
import type { CallerRequest } from './callerRequest';
import { executionOf } from './openRequests';
import type { RequestExecution } from './requestExecution';

/** What ends a request in any case. */
export type RequestEnd = Pick<CallerRequest, 'route' | 'deadlineAt' | 'callerLeavesAt'>;

/** What decides whether a request is complete in time; all in ms. */
export interface RemainingTime {
  /** Until this process closes its connections. */
  leftMs: number;
  /** Until the request ends in any case. */
  allowedMs: number;
  /** The same for the requests before it on its connection, whose answers go first. */
  aheadMs: number;
  /** Within which nearly all answers have been passed on to their callers. */
  deliveryMs: number;
}

/** When a request has its answer in any case; a large one is delivered for as long as its caller waits. */
const endOf = ({ route, deadlineAt, callerLeavesAt }: RequestEnd): number =>
  route.kind === 'download' ? callerLeavesAt : deadlineAt;

/** The remaining time of a request of which only its end is known; undefined unless this process is about to end. */
export const remainingTimeUntil = (
  end: RequestEnd,
  res: ServerResponse,
  { endsAt, now }: { endsAt: () => number; now: () => number },
): RemainingTime | undefined => {
  const at = now();
  const leftMs = endsAt() - at;
  if (leftMs === Infinity) return undefined;
  const ahead = responsesBefore(res).map((before) => {
    const execution = executionOf(before);
    // One that has no execution yet is refused, at the end at the latest.
    if (!execution) return 0;
    const { request: first, isAnswered } = execution;
    return isAnswered && first.route.kind !== 'download' ? 0 : endOf(first) - at;
  });
  return { leftMs, allowedMs: endOf(end) - at, aheadMs: Math.max(0, ...ahead), deliveryMs: 0 };
};

/** The remaining time of a request; undefined unless this process is about to end. */
export const remainingTime = ({
  request,
  res,
  ctx,
}: RequestExecution): RemainingTime | undefined => {
  const remaining = remainingTimeUntil(request, res, ctx);
  if (!remaining) return undefined;
  const delivery = ctx.registry.forService(request.service).deliveries[request.route.kind];
  return { ...remaining, deliveryMs: delivery.estimateAt(ctx.now()) ?? 0 };
};

/** True if a request is complete before the process ends, whatever its target takes. */
export const endsInTime = ({ leftMs, allowedMs, aheadMs, deliveryMs }: RemainingTime): boolean =>
  Math.max(allowedMs, aheadMs) + deliveryMs <= leftMs;
