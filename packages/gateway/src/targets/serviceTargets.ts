/** Creates what the targets of one service share. */
import type {
  EjectionChange,
  LimitShare,
  ServicePool,
  TargetState,
} from '@cardamomladder/steering';
import {
  CrossRegionSpillover,
  PeakResponseTime,
  PriorityBaseline,
  Rankings,
  ReportStaleness,
  ResponseTail,
  ServicePace,
  costRatio,
  usable,
} from '@cardamomladder/steering';
import type { InstanceSettings } from '@cardamomladder/settings';
import { appliesTo } from '../scope';
import { IdleLimit } from './idleLimit';
import type { ServiceTargets } from './reachableTarget';

/** The conditions of a service that other components determine. */
export interface ServiceConditions extends Pick<
  ServicePool,
  'ownRegion' | 'ownDomain' | 'demand' | 'domainDemand' | 'evacuated' | 'coldShare'
> {
  limitShare: (target: TargetState, perSecond: number) => LimitShare;
  /** Settings of the ejection of slow targets. */
  pace: () => InstanceSettings['pace'];
  onEjectionChange: (change: EjectionChange) => void;
  /** Called when a request passes over an ejected target. */
  onPassedOver: (target: TargetState, pace: ServicePace) => void;
}

/** Creates a service's state without any target. */
export const createServiceTargets = ({
  pace: paceSettings,
  onEjectionChange,
  onPassedOver,
  ...conditions
}: ServiceConditions): ServiceTargets => {
  const peakResponseTimes = { cached: new PeakResponseTime(), uncached: new PeakResponseTime() };
  const created: ServiceTargets = {
    rankings: new Rankings(),
    statesPace: false,
    pace: new ServicePace({
      enabled: () => appliesTo(paceSettings().scope, created.statesPace),
      carrying: (now) =>
        created.pool.targets.filter(
          (target) => usable(target, created.pool) && target.coldUntil <= now,
        ),
      maxEjectedShare: () => paceSettings().maxEjectedShare,
      ratio: (now) =>
        costRatio(
          peakResponseTimes.cached.estimateAt(now),
          peakResponseTimes.uncached.estimateAt(now),
        ),
      onChange: onEjectionChange,
    }),
    idleLimit: new IdleLimit(),
    reportStaleness: new ReportStaleness(() => created.pool.targets.length),
    priorityBaseline: new PriorityBaseline(),
    peakResponseTimes,
    deliveries: {
      idempotent: new ResponseTail(),
      'non-idempotent': new ResponseTail(),
      download: new ResponseTail(),
    },
    pool: {
      ...conditions,
      targets: [],
      generation: 0,
      spillover: new CrossRegionSpillover(),
      ejected: ({ id }, now) => created.pace.ejectionOf(id, now) !== undefined,
      onPassedOver: (target) => onPassedOver(target, created.pace),
      slotsOf: (target, now) => created.pace.slotsOf(target, now),
    },
  };
  return created;
};
