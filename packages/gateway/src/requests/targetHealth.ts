/**
 * What each send teaches about its target: load, speed, and whether to leave
 * it alone for a while.
 */
import type { PlacedTarget } from '@cardamomladder/steering';
import { learnAnswerMs } from '@cardamomladder/steering';
import type { AttemptOutcome } from '../targets/attempt';

/** First pause after a failed connection or a lost answer, ms; doubled per failure in a row. */
const INITIAL_BACKOFF_MS = 400;
/** Longest such pause, ms: a target that came back is found again within this. */
const MAX_BACKOFF_MS = 3000;
/** Lost answers in a row from which the target is left alone; one alone may be the connection's. */
const MIN_CONSECUTIVE_LOSSES = 2;
/** A target at whose address another one answered is gone for good; its entry follows within seconds. */
const WRONG_TARGET_BACKOFF_MS = 60_000;
/** A refusal without a load report is taken as "full" for this long, ms. */
const REFUSAL_BACKOFF_MS = 150;

/** How the target stood when a request was sent. */
export interface SendState {
  /** It had been sent the object before. */
  likelyCached: boolean;
  /** Requests it had, as far as known. */
  busy: number;
  /** True if, when the send ended, the target had answered nothing since it was made, though one was overdue. */
  silent?: boolean;
}

const backOff = (target: PlacedTarget, now: number): void => {
  target.avoidUntil =
    now + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (target.failures - 1));
};

const recordResponse = (target: PlacedTarget, ms: number, sent: SendState): void => {
  target.failures = 0;
  if (sent.likelyCached) learnAnswerMs(target, ms, sent.busy);
};

const recordNotRun = (
  target: PlacedTarget,
  outcome: Extract<AttemptOutcome, { kind: 'not-run' }>,
  now: number,
): void => {
  if (outcome.reason === 'wrong-target') {
    target.avoidUntil = now + WRONG_TARGET_BACKOFF_MS;
  } else if (outcome.reason === 'unreachable') {
    target.failures += 1;
    backOff(target, now);
  } else if (!outcome.load) {
    target.avoidUntil = Math.max(target.avoidUntil, now + REFUSAL_BACKOFF_MS);
  }
};

/** Takes the outcome of one send that took `ms`. */
export const recordOutcome = (
  target: PlacedTarget,
  outcome: AttemptOutcome,
  ms: number,
  sent: SendState,
  now: number,
): void => {
  if ('load' in outcome && outcome.load)
    target.load.takeReport(outcome.load.running, outcome.load.waiting, now);
  if (outcome.kind === 'answer') {
    recordResponse(target, ms, sent);
  } else if (outcome.kind === 'not-run') {
    recordNotRun(target, outcome, now);
  } else if (outcome.reason !== 'cancelled') {
    target.failures += sent.silent ? MIN_CONSECUTIVE_LOSSES : 1;
    if (target.failures >= MIN_CONSECUTIVE_LOSSES) backOff(target, now);
  }
};
