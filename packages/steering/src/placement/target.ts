/**
 * The state of one target as placement sees it. The record is updated in place as
 * responses and registry changes arrive; placement only reads it.
 */
import type { FailureDomainName, RegionName, ServiceName, TargetId } from '@cardamomladder/types';
import { LoadEstimate } from './loadEstimate';
import { AdvertisedLimit } from './advertisedLimit';
import { hashId } from './rendezvous';
import type { ReportStaleness } from './reportStaleness';
import { CachedObjects } from './cachedObjects';
import { SlidingWindowCounter } from './slidingWindowCounter';
import { UnansweredSends } from './unansweredSends';

/** A target's attributes from the registry. */
export interface TargetInfo {
  id: TargetId;
  service: ServiceName;
  address: string;
  failureDomain: FailureDomainName;
  region: RegionName;
  slots: number;
}

/**
 * What a target has reported about itself in its responses. Valid until the target
 * stops or reports otherwise.
 */
export interface SelfReport {
  /** The target is leaving and gets no new work, whatever its registry entry says. */
  leaving: boolean;
  /** The target accepts no requests from this instance until then, ms. */
  pausedUntil: number;
  /** The limit that the target advertises, if any. */
  limit: AdvertisedLimit;
}

/**
 * A target with what this instance knows about it. Times are in milliseconds on the
 * monotonic clock.
 */
export interface TargetState extends TargetInfo {
  /** Hash of its id, for rankings. */
  hash: Uint8Array;
  /** The target is leaving and gets no new work. */
  leaving: boolean;
  /** The target is cold until then and gets no more than its cold share. */
  coldUntil: number;
  /** The target is not selected before then: it failed or was unreachable. */
  avoidUntil: number;
  /** Consecutive failures since the last successful response. */
  failures: number;
  load: LoadEstimate;
  /** This instance's sends that are in flight. */
  unanswered: UnansweredSends;
  /** Objects this instance has sent it recently. */
  cachedObjects: CachedObjects;
  /** Sends of the last second while cold. */
  coldSends: SlidingWindowCounter;
  selfReport: SelfReport;
  /**
   * Smoothed time from send to response for objects that it has cached, ms;
   * undefined before the first such response.
   */
  responseMs?: number;
}

const COLD_WINDOW_MS = 1000;
/** Smoothing weight of a new response that is shorter than the target's typical response time. */
const SMOOTHING_DOWN = 0.3;
/**
 * The same for a longer response: most long responses waited in a queue or came from a
 * slow moment.
 */
const SMOOTHING_UP = 0.05;

/**
 * Records the time of a response to a request for an object that the target has
 * cached, ms. `inFlight` is the number of requests the target had when this one was
 * sent: the time spent queueing behind them is not a property of the target.
 */
export const updateResponseMs = (target: TargetState, ms: number, inFlight: number): void => {
  const serviceMs = ms / Math.max(1, (inFlight + 1) / target.slots);
  target.responseMs =
    target.responseMs === undefined
      ? serviceMs
      : target.responseMs +
        (serviceMs < target.responseMs ? SMOOTHING_DOWN : SMOOTHING_UP) *
          (serviceMs - target.responseMs);
};

/**
 * Creates the state of a newly discovered target. `staleness` is shared by all targets
 * of its service.
 */
export const newTarget = (info: TargetInfo, staleness?: ReportStaleness): TargetState => ({
  ...info,
  hash: hashId(info.id),
  leaving: false,
  coldUntil: 0,
  avoidUntil: 0,
  failures: 0,
  load: new LoadEstimate(staleness),
  unanswered: new UnansweredSends(),
  cachedObjects: new CachedObjects(),
  coldSends: new SlidingWindowCounter(COLD_WINDOW_MS),
  selfReport: { leaving: false, pausedUntil: 0, limit: new AdvertisedLimit() },
});

/** Discards evidence against a target that was gathered while this instance was cut off. */
export const disregardFailures = (target: TargetState): void => {
  target.failures = 0;
  target.avoidUntil = 0;
  target.unanswered.disregard();
};
