/**
 * One customer's requests at a fleet, in virtual time: how many are taken in any
 * window, and how many are turned away that one bucket for all would have taken.
 */
import { mostInWindow } from '@cardamomladder/load';
import { customerName, instanceId } from '@cardamomladder/types';
import type { InstanceId } from '@cardamomladder/types';
import type { RateLimit } from '../../customer';
import type { QuotaTolerance } from '../quotaParts';
import { TokenBucket } from '../tokenBucket';

/** The operators' bounds in these plays. */
export const TOLERANCE: QuotaTolerance = { windowMs: 5000, overage: 0.1, slack: 20 };
/** The customer whose limit is played. */
export const PLAYED_CUSTOMER = customerName('harbour');
/** One way between two instances, ms. */
const WAY_MS = 20;
const STEP_MS = 10;
/** A process takes this long to start, ms. */
const START_MS = 500;
/** An instance is gone from the registry this long after it was last heard of, ms. */
const LAPSE_MS = 3000;
const MS_PER_SECOND = 1000;

/** What the ways of sharing a limit see of the fleet. */
export interface PlayedFleet {
  ids: readonly InstanceId[];
  limit: RateLimit;
  now: () => number;
  /** Delivers a message, unless the two are cut apart or the receiver is down by then. */
  send: (from: InstanceId, to: InstanceId, deliver: () => void) => void;
  isUp: (id: InstanceId) => boolean;
  /** True while the registry, as one instance knows it, has another one. */
  sees: (viewer: InstanceId, other: InstanceId) => boolean;
}

/** One way of sharing a limit. */
export interface SharingWay {
  /** Decides on a request, at once or after a wait. */
  admit: (at: InstanceId, decide: (isTaken: boolean) => void) => void;
  /** Called every `STEP_MS`. */
  step: () => void;
  /** An instance takes callers again and remembers nothing; its process started at `startedAt`. */
  restart: (id: InstanceId, startedAt: number) => void;
}

/** What happens in a play. */
export interface QuotaPlay {
  instances: number;
  limit: RateLimit;
  seconds: number;
  /** Requests a second that come at an instance at a moment, ms. */
  demand: (index: number, at: number) => number;
  /** True while two instances cannot reach each other. */
  isCut?: (one: number, other: number, at: number) => boolean;
  /** True while an instance is down. */
  isDown?: (index: number, at: number) => boolean;
  random: () => number;
  /** From here on, ms, what is turned away counts. */
  countedFrom?: number;
}

/** What came of it. */
export interface QuotaOutcome {
  /** Most requests taken in a window, as a part of what is tolerated: above 1 is broken. */
  worstWindow: number;
  /** Turned away though one bucket for all would have taken them, as a part of those. */
  turnedAwayWithin: number;
  messagesPerSecond: number;
  /** The longest that a request waited before it was taken, ms. */
  longestWait: number;
}

const worstWindowOf = (taken: readonly number[], limit: RateLimit): number => {
  const seconds = TOLERANCE.windowMs / MS_PER_SECOND;
  const tolerated =
    (limit.perSecond * seconds + limit.burst) * (1 + TOLERANCE.overage) + TOLERANCE.slack;
  return mostInWindow(taken, TOLERANCE.windowMs) / tolerated;
};

/** Plays `build`'s way of sharing. */
export const playQuota = (
  play: QuotaPlay,
  build: (fleet: PlayedFleet) => SharingWay,
): QuotaOutcome => {
  const { instances, limit, random, isCut = () => false, isDown = () => false } = play;
  const ids = Array.from({ length: instances }, (_, i) => instanceId(`instance-${i}`));
  const indexOf = new Map(ids.map((id, i) => [id, i]));
  const index = (id: InstanceId) => indexOf.get(id) ?? 0;
  let now = 0;
  let messages = 0;
  let underWay: { at: number; to: InstanceId; deliver: () => void }[] = [];
  const fleet: PlayedFleet = {
    ids,
    limit,
    now: () => now,
    isUp: (id) => !isDown(index(id), now),
    sees: (viewer, other) => {
      // The store stands beside the first instance: who is cut off from there is
      // gone from the registry after a while, and knows nothing new of it.
      if (viewer === other || isCut(index(viewer), 0, now)) return true;
      const isGone = (at: number) => isCut(index(other), 0, at) || isDown(index(other), at);
      return ![0, 1, 2, 3].every((part) => isGone(now - LAPSE_MS * (part / 3)));
    },
    send: (from, to, deliver) => {
      messages += 1;
      if (!isCut(index(from), index(to), now)) underWay.push({ at: now + WAY_MS, to, deliver });
    },
  };
  const way = build(fleet);
  // The measure: one bucket that all would share without any delay.
  const ideal = new TokenBucket(limit, 0);
  const taken: number[] = [];
  let within = 0;
  let turnedAway = 0;
  let longestWait = 0;
  const request = (id: InstanceId): void => {
    const isWithin = ideal.take(1, now) === 1;
    const counts = isWithin && now >= (play.countedFrom ?? 0);
    const cameAt = now;
    if (counts) within += 1;
    way.admit(id, (isTaken) => {
      if (isTaken) taken.push(now);
      if (isTaken) longestWait = Math.max(longestWait, now - cameAt);
      if (counts && !isTaken) turnedAway += 1;
    });
  };
  const downSince = new Map<number, number>();
  const step = (): void => {
    const due = underWay.filter(({ at }) => at <= now);
    underWay = underWay.filter(({ at }) => at > now);
    due.forEach(({ to, deliver }) => {
      if (fleet.isUp(to)) deliver();
    });
    ids.forEach((id, i) => {
      if (isDown(i, now)) {
        downSince.set(i, downSince.get(i) ?? now);
        return;
      }
      const since = downSince.get(i);
      if (since !== undefined) way.restart(id, Math.max(since, now - START_MS));
      downSince.delete(i);
      const expected = (play.demand(i, now) * STEP_MS) / MS_PER_SECOND;
      const arrivals = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
      for (let n = 0; n < arrivals; n += 1) request(id);
    });
    way.step();
  };
  for (; now < play.seconds * MS_PER_SECOND; now += STEP_MS) step();
  return {
    worstWindow: worstWindowOf(taken, limit),
    turnedAwayWithin: within === 0 ? 0 : turnedAway / within,
    messagesPerSecond: messages / play.seconds,
    longestWait,
  };
};
