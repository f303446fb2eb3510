/** Whether a waiting request would find a slot now, without effects on what placement counts. */
import type { PlacementOutcome } from '@cardamomladder/steering';
import { NO_SPILLOVER, place } from '@cardamomladder/steering';
import { localityOf } from './destination';
import type { RequestExecution } from './requestExecution';

/** Returns true if the request would be placed, or rejected for another reason than `full`. */
export const hasNews = (execution: RequestExecution): boolean => {
  const { request, ctx, tried, urgent, withinShare } = execution;
  if (ctx.reach.isCutOff) return true;
  const { pool, rankings } = ctx.registry.forService(request.service);
  const { latencyObjectiveMs: objectiveMs } = request.route;
  const outcome: PlacementOutcome = place(
    {
      key: request.key,
      locality: localityOf(request),
      homeRegions: request.homeRegions,
      objectiveMs,
      objectiveMissed: request.waitedBeforeMs > (objectiveMs ?? Infinity),
      urgent: urgent || withinShare?.urgent,
      tried,
      now: ctx.now(),
    },
    { ...pool, spillover: NO_SPILLOVER },
    rankings,
  );
  return outcome.kind === 'placed' || outcome.reason !== 'full';
};
