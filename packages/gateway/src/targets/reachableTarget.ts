/** A target with its connections, and what is shared by the targets of a service. */
import type { TargetEntry } from '@cardamomladder/fleet';
import type {
  PeakResponseTime,
  PriorityBaseline,
  Rankings,
  ReportStaleness,
  ResponseTail,
  ServicePace,
  ServicePool,
  TargetState,
} from '@cardamomladder/steering';
import type { RequestKind } from '@cardamomladder/routing';
import type { TargetConnections } from './connections';
import type { IdleLimit } from './idleLimit';

/** A target with its address and connections. */
export interface ReachableTarget {
  placed: TargetState;
  host: string;
  port: number;
  /** Its connections, created on first use, as most instances send to few of the known targets. */
  connections: () => TargetConnections;
  /** Its latest registry entry. */
  entry: TargetEntry;
}

/** A service's pool, its cached rankings, and the state derived from all its targets. */
export interface ServiceTargets {
  pool: ServicePool;
  rankings: Rankings;
  /** True once a target of the service has stated its pace. */
  statesPace: boolean;
  /** The paces of its targets, and those that are ejected as they are slow. */
  pace: ServicePace;
  idleLimit: IdleLimit;
  reportStaleness: ReportStaleness;
  priorityBaseline: PriorityBaseline;
  /** The longest recent response times, for objects that the target was sent before and for new ones. */
  peakResponseTimes: { cached: PeakResponseTime; uncached: PeakResponseTime };
  /** How long answers to requests of each kind take until their callers have them. */
  deliveries: Readonly<Record<RequestKind, ResponseTail>>;
}
