/**
 * Describes the first targets of an object as placement saw them, for the log entry of
 * a rejection.
 */
import type { ObjectKey } from '@cardamomladder/types';
import type { Locality } from './homeShares';
import type { ServicePool } from './pool';
import { pauseMs } from './pool';
import type { Rankings } from './rankings';
import type { TargetState } from './target';

/** Number of targets described: those that could have taken the request and the next one. */
const MAX_DESCRIBED = 3;

/** One target as placement saw it. Ages are in milliseconds. */
export interface TargetSnapshot {
  id: string;
  /** Estimated requests at the target, from its last report and own sends. */
  busy: number;
  slots: number;
  /** Its typical response time for objects that it has cached, ms. */
  usualMs?: number;
  reportAgeMs?: number;
  /** Why the target was excluded, if it was. */
  out?: 'leaving' | 'evacuated' | 'avoided' | 'held-back' | 'cold' | 'slow';
  /** Requests per second that it accepts from all instances together, if it advertises a limit. */
  limitPerSecond?: number;
}

const exclusionReason = (
  target: TargetState,
  pool: ServicePool,
  now: number,
): TargetSnapshot['out'] => {
  if (target.leaving || target.selfReport.leaving) return 'leaving';
  if (pool.evacuated(target.failureDomain)) return 'evacuated';
  if (target.avoidUntil > now) return 'avoided';
  if (pauseMs(target, pool, now) > 0) return 'held-back';
  if (target.coldUntil > now) return 'cold';
  return pool.ejected?.(target, now) ? 'slow' : undefined;
};

/** Returns the first targets of an object as seen at `now`. */
export const describeTargets = (
  key: ObjectKey,
  locality: Locality,
  pool: ServicePool,
  rankings: Rankings,
  now: number,
): TargetSnapshot[] =>
  rankings
    .of(key, locality, pool)
    .slice(0, MAX_DESCRIBED)
    .map((target) => ({
      id: target.id,
      busy: Math.round(target.load.requestsAt(now) * 10) / 10,
      slots: target.slots,
      usualMs: target.responseMs === undefined ? undefined : Math.round(target.responseMs),
      reportAgeMs:
        target.load.reportedAt === undefined ? undefined : Math.round(now - target.load.reportedAt),
      out: exclusionReason(target, pool, now),
      limitPerSecond: target.selfReport.limit.perSecond,
    }));
