/**
 * One target as placing sees it. The record is updated in place as answers
 * and registry changes arrive; placing only reads it.
 */
import type { FailureDomainName, RegionName, ServiceName, TargetId } from '@cardamomladder/types';
import { Load } from './busyEstimate';
import { NamedLimit } from './namedLimit';
import { hashOf } from './rendezvous';
import type { ReportFade } from './reportFade';
import { RememberedObjects } from './rememberedObjects';
import { RollingCount } from './rollingCount';
import { UnansweredSends } from './unansweredSends';

/** A target's standing facts, from the registry. */
export interface TargetFacts {
  id: TargetId;
  service: ServiceName;
  address: string;
  failureDomain: FailureDomainName;
  region: RegionName;
  slots: number;
}

/** What a target has said of itself in its answers; holds for as long as it runs, or until it says otherwise. */
export interface SelfReport {
  /** It leaves: gets no new work, whatever its entry says. */
  leaving: boolean;
  /** It wants no requests from this instance until then, ms. */
  restUntil: number;
  /** The limit that it names, if any. */
  limit: NamedLimit;
}

/** A target with what this instance has learned of it. Times on the steady clock, ms. */
export interface PlacedTarget extends TargetFacts {
  /** The hash of its id, for rankings. */
  hash: Uint8Array;
  /** Leaving: gets no new work. */
  leaving: boolean;
  /** Cold until then: gets no more than its cold share. */
  coldUntil: number;
  /** Not chosen before then: it failed or could not be reached. */
  avoidUntil: number;
  /** Failures in a row without a good answer between. */
  failures: number;
  load: Load;
  /** This instance's sends that are under way. */
  unanswered: UnansweredSends;
  /** Objects it was sent lately by this instance. */
  objects: RememberedObjects;
  /** Sends of the last second while cold. */
  coldSends: RollingCount;
  selfReport: SelfReport;
  /** Smoothed time from send to answer for objects it remembers, ms; undefined before the first such answer. */
  answerMs?: number;
}

const COLD_WINDOW_MS = 1000;
/** Weight of the newest answer in a target's usual answer time when it is shorter than that. */
const SMOOTHING_DOWN = 0.3;
/** The same when it is longer: most long answers waited behind others or came from a slow moment. */
const SMOOTHING_UP = 0.05;

/**
 * Takes the time of one answer to a request for an object that the target
 * remembers, ms. `busy` is how many requests the target had when this one was
 * sent: the wait behind them is no property of the target.
 */
export const learnAnswerMs = (target: PlacedTarget, ms: number, busy: number): void => {
  const unqueuedMs = ms / Math.max(1, (busy + 1) / target.slots);
  target.answerMs =
    target.answerMs === undefined
      ? unqueuedMs
      : target.answerMs +
        (unqueuedMs < target.answerMs ? SMOOTHING_DOWN : SMOOTHING_UP) *
          (unqueuedMs - target.answerMs);
};

/** A target that was just learned of; `fade` is shared by its service's targets. */
export const newTarget = (facts: TargetFacts, fade?: ReportFade): PlacedTarget => ({
  ...facts,
  hash: hashOf(facts.id),
  leaving: false,
  coldUntil: 0,
  avoidUntil: 0,
  failures: 0,
  load: new Load(fade),
  unanswered: new UnansweredSends(),
  objects: new RememberedObjects(),
  coldSends: new RollingCount(COLD_WINDOW_MS),
  selfReport: { leaving: false, restUntil: 0, limit: new NamedLimit() },
});

/** True when a target has less than so many requests per slot, as far as known. */
export const hasRoom = (target: PlacedTarget, perSlot: number, now: number): boolean =>
  target.load.busyAt(now) < target.slots * perSlot;
