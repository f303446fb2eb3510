/**
 * Chooses the target of one request, or says at once that none can take it.
 *
 * The load this answers: services whose targets work several times faster on
 * objects they have handled lately, at a demand that is above the capacity
 * with cold memories and below it with warm ones. Spilling to any target
 * with room makes every target forget what it knew; service times grow
 * three-fold and the overload feeds itself until queues are emptied by a
 * restart. Keeping each object on its first target, or at most on one that
 * helps it out, keeps memories warm, and refusing the rest keeps queues short.
 */
import type { WarmTargets } from './choices';
import { coldChoices, soonestMs, warmChoices } from './choices';
import type { Placement, ServicePool } from './pool';
import { queuePerSlot } from './queueLimit';
import type { Rankings } from './rankings';
import type { PlacedTarget } from './target';
import { hasRoom } from './target';

/**
 * Requests per slot up to which a target helps out an object's first one. It
 * does so where it has slots to spare: when all are full it must not, or each
 * forgets its own objects for another's and the overload stays after its
 * cause has gone.
 */
export const HELP_PER_SLOT = 1;
/** The same where the object is new to the helper, which then works several times as long. */
export const HELP_NEW_PER_SLOT = 0.6;
/** Requests per slot for one that is late already: it takes a slot that is free, and no place in a queue from one that is not late. */
const LATE_PER_SLOT = 1;
/** So many more requests per slot for an urgent one: when a target is full for others, there is still a place for it. */
const URGENT_PER_SLOT = 0.3;
/** A rejected caller is told to come back after this, ms, when targets exist: about one service time. */
export const FULL_RETRY_AFTER_MS = 250;
/** The same when no target exists at all: the registry needs about this long to change. */
export const NO_TARGET_RETRY_AFTER_MS = 500;

/** Nobody is told to come back sooner than this, ms: about the way there and back between regions. */
const LEAST_RETRY_AFTER_MS = 50;

/** Why no target was chosen. */
export type RejectionReason = 'no-target' | 'full' | 'cold' | 'held-back';

/** The outcome of placing one request. */
export type PlacementOutcome =
  | { kind: 'placed'; target: PlacedTarget }
  | { kind: 'rejected'; reason: RejectionReason; retryAfterMs: number };

const coldRoom = (target: PlacedTarget, pool: ServicePool, now: number): boolean =>
  target.coldSends.total(now) < pool.coldShare(target);

/** True when a target may help an object's first one out. */
const canHelp = (helper: PlacedTarget, { key, now }: Placement): boolean =>
  hasRoom(helper, helper.objects.has(key) ? HELP_PER_SLOT : HELP_NEW_PER_SLOT, now);

/** The warm target for a request, if one has room. */
const warmChoice = (
  { first, second, abroad }: WarmTargets,
  request: Placement,
  { helpAbroad }: ServicePool,
): PlacedTarget | undefined => {
  if (!first) return undefined;
  const { key, now, objectiveMs, lateAlready, urgent } = request;
  const queued = queuePerSlot(objectiveMs, first.answerMs) + (urgent ? URGENT_PER_SLOT : 0);
  const perSlot = lateAlready ? LATE_PER_SLOT : queued;
  const hasFirst = hasRoom(first, perSlot, now);
  const helper = abroad && canHelp(abroad, request) ? abroad : undefined;
  const helps = helpAbroad.take(now, !hasFirst && helper !== undefined);
  // Without need, only a target that knows the object keeps up what it took over.
  if (helper && helps && (!hasFirst || helper.objects.has(key))) return helper;
  if (hasFirst) return first;
  return second && canHelp(second, request) ? second : undefined;
};

/** No target may take the request now; where some only ask for a pause, its caller comes back after the shortest. */
const rejectWithoutTarget = (request: Placement, pool: ServicePool): PlacementOutcome => {
  const heldBack = soonestMs(request, pool);
  return heldBack === undefined
    ? { kind: 'rejected', reason: 'no-target', retryAfterMs: NO_TARGET_RETRY_AFTER_MS }
    : {
        kind: 'rejected',
        reason: 'held-back',
        retryAfterMs: Math.max(heldBack, LEAST_RETRY_AFTER_MS),
      };
};

/** Chooses the target for one request of the pool's service. */
export const place = (
  request: Placement,
  pool: ServicePool,
  rankings: Rankings,
): PlacementOutcome => {
  const { now } = request;
  const warm = warmChoices(request, pool, rankings);
  const chosen = warmChoice(warm, request, pool);
  if (chosen) return { kind: 'placed', target: chosen };
  const cold = coldChoices(request, pool, rankings);
  const coldOne = cold.find((t) => hasRoom(t, HELP_NEW_PER_SLOT, now) && coldRoom(t, pool, now));
  if (coldOne) return { kind: 'placed', target: coldOne };
  if (!warm.first && cold.length === 0) return rejectWithoutTarget(request, pool);
  return {
    kind: 'rejected',
    reason: warm.first ? 'full' : 'cold',
    retryAfterMs: FULL_RETRY_AFTER_MS,
  };
};
