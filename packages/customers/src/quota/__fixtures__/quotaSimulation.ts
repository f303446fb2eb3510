/**
 * Simulates one customer's requests at a fleet in virtual time. Measures how many
 * requests are admitted in any window, and how many are rejected that a single
 * token bucket shared by the whole fleet would have admitted.
 */
import { maxInWindow } from '@cardamomladder/load';
import { customerName, instanceId } from '@cardamomladder/types';
import type { InstanceId } from '@cardamomladder/types';
import type { RateLimit } from '../../customer';
import type { QuotaTolerance } from '../quotaParts';
import { TokenBucket } from '../tokenBucket';

/** Tolerance configured in the simulations. */
export const TOLERANCE: QuotaTolerance = { windowMs: 5000, overage: 0.1, slack: 20 };
/** The customer whose limit is simulated. */
export const SIMULATED_CUSTOMER = customerName('harbour');
/** One-way network delay between two instances, ms. */
const ONE_WAY_DELAY_MS = 20;
const STEP_MS = 10;
/** Time that a process takes to start, ms. */
const PROCESS_START_MS = 500;
/** Time after the last contact at which an instance is removed from the registry, ms. */
const REGISTRY_EXPIRY_MS = 3000;
const MS_PER_SECOND = 1000;

/** The fleet as a sharing strategy sees it. */
export interface QuotaFleet {
  ids: readonly InstanceId[];
  limit: RateLimit;
  now: () => number;
  /** Delivers a message, unless the two are partitioned or the receiver is down at delivery. */
  send: (from: InstanceId, to: InstanceId, deliver: () => void) => void;
  isUp: (id: InstanceId) => boolean;
  /** True while `other` is in the registry as `viewer` knows it. */
  sees: (viewer: InstanceId, other: InstanceId) => boolean;
}

/** A strategy for sharing a limit across the fleet. */
export interface SharingStrategy {
  /** Decides on a request, immediately or after a wait. */
  admit: (at: InstanceId, decide: (isAdmitted: boolean) => void) => void;
  /** Called every `STEP_MS`. */
  step: () => void;
  /** An instance serves callers again with its state lost; its process started at `startedAt`. */
  restart: (id: InstanceId, startedAt: number) => void;
}

/** Demand and faults of one simulation. */
export interface QuotaScenario {
  instances: number;
  limit: RateLimit;
  seconds: number;
  /** Requests per second arriving at an instance at time `at`, ms. */
  demand: (index: number, at: number) => number;
  /** True while two instances cannot reach each other. */
  isPartitioned?: (one: number, other: number, at: number) => boolean;
  /** True while an instance is down. */
  isDown?: (index: number, at: number) => boolean;
  random: () => number;
  /** Time from which rejections are counted, ms. */
  countedFrom?: number;
}

/** Result of one simulation. */
export interface QuotaSimulationResult {
  /** Maximum requests admitted in a window relative to the tolerated number; above 1 the limit is violated. */
  peakWindowRatio: number;
  /** Fraction of the requests that a single shared bucket would have admitted but that were rejected. */
  rejectedWithinLimit: number;
  messagesPerSecond: number;
  /** Longest wait of a request that was admitted, ms. */
  longestWaitMs: number;
}

const peakWindowRatioOf = (admittedAt: readonly number[], limit: RateLimit): number => {
  const seconds = TOLERANCE.windowMs / MS_PER_SECOND;
  const maxTolerated =
    (limit.perSecond * seconds + limit.burst) * (1 + TOLERANCE.overage) + TOLERANCE.slack;
  return maxInWindow(admittedAt, TOLERANCE.windowMs) / maxTolerated;
};

/** Runs a scenario with the sharing strategy that `build` creates. */
export const simulateQuota = (
  scenario: QuotaScenario,
  build: (fleet: QuotaFleet) => SharingStrategy,
): QuotaSimulationResult => {
  const { instances, limit, random, isPartitioned = () => false, isDown = () => false } = scenario;
  const ids = Array.from({ length: instances }, (_, i) => instanceId(`instance-${i}`));
  const indexOf = new Map(ids.map((id, i) => [id, i]));
  const index = (id: InstanceId) => indexOf.get(id) ?? 0;
  let now = 0;
  let messages = 0;
  let inTransit: { at: number; to: InstanceId; deliver: () => void }[] = [];
  const fleet: QuotaFleet = {
    ids,
    limit,
    now: () => now,
    isUp: (id) => !isDown(index(id), now),
    sees: (viewer, other) => {
      // The store is next to the first instance. An instance partitioned from it
      // expires from the registry and does not see changes of the registry.
      if (viewer === other || isPartitioned(index(viewer), 0, now)) return true;
      const isGone = (at: number) => isPartitioned(index(other), 0, at) || isDown(index(other), at);
      return ![0, 1, 2, 3].every((part) => isGone(now - REGISTRY_EXPIRY_MS * (part / 3)));
    },
    send: (from, to, deliver) => {
      messages += 1;
      if (!isPartitioned(index(from), index(to), now))
        inTransit.push({ at: now + ONE_WAY_DELAY_MS, to, deliver });
    },
  };
  const strategy = build(fleet);
  // Reference: a single bucket shared by all instances without delay.
  const ideal = new TokenBucket(limit, 0);
  const admittedAt: number[] = [];
  let withinLimit = 0;
  let rejected = 0;
  let longestWaitMs = 0;
  const request = (id: InstanceId): void => {
    const isWithinLimit = ideal.take(1, now) === 1;
    const isCounted = isWithinLimit && now >= (scenario.countedFrom ?? 0);
    const arrivedAt = now;
    if (isCounted) withinLimit += 1;
    strategy.admit(id, (isAdmitted) => {
      if (isAdmitted) admittedAt.push(now);
      if (isAdmitted) longestWaitMs = Math.max(longestWaitMs, now - arrivedAt);
      if (isCounted && !isAdmitted) rejected += 1;
    });
  };
  const downSince = new Map<number, number>();
  const step = (): void => {
    const due = inTransit.filter(({ at }) => at <= now);
    inTransit = inTransit.filter(({ at }) => at > now);
    due.forEach(({ to, deliver }) => {
      if (fleet.isUp(to)) deliver();
    });
    ids.forEach((id, i) => {
      if (isDown(i, now)) {
        downSince.set(i, downSince.get(i) ?? now);
        return;
      }
      const since = downSince.get(i);
      if (since !== undefined) strategy.restart(id, Math.max(since, now - PROCESS_START_MS));
      downSince.delete(i);
      const expected = (scenario.demand(i, now) * STEP_MS) / MS_PER_SECOND;
      const arrivals = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
      for (let n = 0; n < arrivals; n += 1) request(id);
    });
    strategy.step();
  };
  for (; now < scenario.seconds * MS_PER_SECOND; now += STEP_MS) step();
  return {
    peakWindowRatio: peakWindowRatioOf(admittedAt, limit),
    rejectedWithinLimit: withinLimit === 0 ? 0 : rejected / withinLimit,
    messagesPerSecond: messages / scenario.seconds,
    longestWaitMs,
  };
};
