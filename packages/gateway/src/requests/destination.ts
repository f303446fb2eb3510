/** Chooses where a request is sent: to a target, or to a peer while this instance reaches no target. */
import { place } from '@cardamomladder/steering';
import type { Locality, PlacementOutcome } from '@cardamomladder/steering';
import type { ForwardingPeer } from '../reach/forwardingPeers';
import type { ReachableTarget } from '../targets/registry';
import type { CallerRequest } from './callerRequest';
import { endsInTime, remainingTime } from './remainingTime';
import { STOPPING } from './responses';
import type { RequestExecution } from './requestExecution';

/** Where a request is sent. */
export type Destination =
  { kind: 'target'; target: ReachableTarget } | { kind: 'peer'; peer: ForwardingPeer };

/** A destination, or why there is none and when to return. */
export type DestinationChoice =
  Destination | { kind: 'rejected'; reason: string; retryAfterMs: number };

/** Retry-After if the chosen target is removed at the same moment, ms. */
const TARGET_GONE_RETRY_AFTER_MS = 150;

export const localityOf = ({ route }: CallerRequest): Locality =>
  route.kind === 'download' ? 'near' : 'balanced';

const choosePlacement = (
  { request, ctx, tried, urgent }: RequestExecution,
  withinShare: boolean,
): PlacementOutcome => {
  const { pool, rankings } = ctx.registry.forService(request.service);
  const { route } = request;
  return place(
    {
      key: request.key,
      locality: localityOf(request),
      homeRegions: request.homeRegions,
      objectiveMs: route.latencyObjectiveMs,
      objectiveMissed: request.waitedBeforeMs > (route.latencyObjectiveMs ?? Infinity),
      urgent: urgent || withinShare,
      tried,
      now: ctx.now(),
    },
    pool,
    rankings,
  );
};

/** Chooses a peer; a request that was forwarded already is not forwarded again, so that there are no loops. */
const choosePeer = ({ request, ctx, triedPeers }: RequestExecution): ForwardingPeer | undefined =>
  request.isForwarded ? undefined : ctx.peers.choose(request.homeRegions, triedPeers);

/** Chooses the next destination, or returns the reason for rejecting the request. */
export const chooseDestination = (execution: RequestExecution): DestinationChoice => {
  const { request, ctx } = execution;
  const { reach } = ctx;
  const remaining = remainingTime(execution);
  if (remaining && !endsInTime(remaining))
    return { kind: 'rejected', reason: STOPPING, retryAfterMs: 0 };
  if (reach.isCutOff) {
    const peer = choosePeer(execution);
    if (peer) return { kind: 'peer', peer };
    if (reach.isIsolated || request.isForwarded)
      return { kind: 'rejected', reason: 'cut-off', retryAfterMs: reach.retryAfterMs };
  }
  const share = ctx.fairShares.check(execution);
  if (share.kind === 'over-share')
    return { kind: 'rejected', reason: share.kind, retryAfterMs: share.retryAfterMs };
  const placed = choosePlacement(execution, share.urgent);
  ctx.fairShares.recordPlacement(execution, placed);
  if (placed.kind === 'rejected') return placed;
  const target = ctx.registry.get(placed.target.id);
  return target
    ? { kind: 'target', target }
    : { kind: 'rejected', reason: 'no-target', retryAfterMs: TARGET_GONE_RETRY_AFTER_MS };
};
