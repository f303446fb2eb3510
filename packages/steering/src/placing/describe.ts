/** What placing saw of an object's first targets, for the log line of a rejection. */
import type { ObjectKey } from '@cardamomladder/types';
import type { Locality } from './homeShares';
import type { ServicePool } from './pool';
import { heldBackMs } from './pool';
import type { Rankings } from './rankings';
import type { PlacedTarget } from './target';

/** Targets described: those that could have taken the request and the next one. */
const DESCRIBED = 3;

/** One target as placing saw it; ages in ms. */
export interface SeenTarget {
  id: string;
  /** Requests there by the last report and own sends, as far as believed. */
  busy: number;
  slots: number;
  /** Its usual answer time for objects that it remembers. */
  usualMs?: number;
  reportAgeMs?: number;
  /** Why it was out of the question, if it was. */
  out?: 'leaving' | 'evacuated' | 'avoided' | 'held-back' | 'cold';
  /** Requests per second that it takes from all instances together, where it names a limit. */
  limitPerSecond?: number;
}

const reasonOut = (target: PlacedTarget, pool: ServicePool, now: number): SeenTarget['out'] => {
  if (target.leaving || target.selfReport.leaving) return 'leaving';
  if (pool.evacuated(target.failureDomain)) return 'evacuated';
  if (target.avoidUntil > now) return 'avoided';
  if (heldBackMs(target, pool, now) > 0) return 'held-back';
  return target.coldUntil > now ? 'cold' : undefined;
};

/** The object's first targets as they are seen at `now`. */
export const describeTargets = (
  key: ObjectKey,
  locality: Locality,
  pool: ServicePool,
  rankings: Rankings,
  now: number,
): SeenTarget[] =>
  rankings
    .of(key, locality, pool)
    .slice(0, DESCRIBED)
    .map((target) => ({
      id: target.id,
      busy: Math.round(target.load.busyAt(now) * 10) / 10,
      slots: target.slots,
      usualMs: target.answerMs === undefined ? undefined : Math.round(target.answerMs),
      reportAgeMs:
        target.load.reportedAt === undefined ? undefined : Math.round(now - target.load.reportedAt),
      out: reasonOut(target, pool, now),
      limitPerSecond: target.selfReport.limit.perSecond,
    }));
