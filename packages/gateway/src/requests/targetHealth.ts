/**
 * Updates a target's state from the outcome of each send: load, response time,
 * and backoff after failures.
 */
import type { TargetState } from '@cardamomladder/steering';
import { atUsualPace, updateResponseMs } from '@cardamomladder/steering';
import type { AttemptOutcome } from '../targets/attempt';
import { isAborted } from '../targets/attempt';

/** Initial backoff after a failed connection or lost responses, ms; doubled with each consecutive failure. */
const INITIAL_BACKOFF_MS = 400;
/** Maximum backoff, ms: a recovered target gets requests again within this time. */
const MAX_BACKOFF_MS = 3000;
/** Consecutive lost responses before the target is backed off; a single one may be a connection failure. */
const MIN_CONSECUTIVE_LOSSES = 2;
/** Backoff if another target responded at the address, ms: this one is gone for good, and its entry is removed within seconds. */
const WRONG_TARGET_BACKOFF_MS = 60_000;
/** How long a target is considered full after a refusal without a load report, ms. */
const REFUSAL_BACKOFF_MS = 150;

/** State of the target when a request was sent. */
export interface SendState {
  /** True if the target had been sent the object before. */
  likelyCached: boolean;
  /** Estimated number of requests in progress at the target. */
  busy: number;
  /** True if the target was unresponsive when the send ended (see `UnansweredSends.isUnresponsive`). */
  silent?: boolean;
  /** True if times are divided by the pace that the target stated. */
  countsPace?: boolean;
}

const backOff = (target: TargetState, now: number): void => {
  target.avoidUntil =
    now + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (target.failures - 1));
};

const recordResponse = (
  target: TargetState,
  outcome: Extract<AttemptOutcome, { kind: 'answer' }>,
  ms: number,
  sent: SendState,
): void => {
  target.failures = 0;
  const pace = sent.countsPace ? outcome.load?.pace : undefined;
  if (sent.likelyCached)
    updateResponseMs(target, atUsualPace(ms, pace, target.responseMs), sent.busy);
};

const recordNotRun = (
  target: TargetState,
  outcome: Extract<AttemptOutcome, { kind: 'not-run' }>,
  now: number,
): void => {
  if (outcome.reason === 'wrong-target') {
    target.avoidUntil = now + WRONG_TARGET_BACKOFF_MS;
  } else if (outcome.reason === 'unsendable') {
    // Shows nothing about the target.
  } else if (outcome.reason === 'unreachable') {
    target.failures += 1;
    backOff(target, now);
  } else if (!outcome.load) {
    target.avoidUntil = Math.max(target.avoidUntil, now + REFUSAL_BACKOFF_MS);
  }
};

/** Records the outcome of a send that took `ms`. */
export const recordOutcome = (
  target: TargetState,
  outcome: AttemptOutcome,
  ms: number,
  sent: SendState,
  now: number,
): void => {
  if ('load' in outcome && outcome.load)
    target.load.recordReport(outcome.load.running, outcome.load.waiting, now);
  if (outcome.kind === 'answer') {
    recordResponse(target, outcome, ms, sent);
  } else if (outcome.kind === 'not-run') {
    recordNotRun(target, outcome, now);
  } else if (!isAborted(outcome.reason)) {
    target.failures += sent.silent ? MIN_CONSECUTIVE_LOSSES : 1;
    if (target.failures >= MIN_CONSECUTIVE_LOSSES) backOff(target, now);
  }
};
