/**
 * Whether, and after how long, a request is sent to another target. At most
 * once is decided here: a request that must not run twice is sent again only
 * when the send before surely did not run.
 */
import type { RequestKind } from '@cardamomladder/routing';
import { repeatable } from '@cardamomladder/routing';
import type { LongestKnown } from '@cardamomladder/steering';
import type { AttemptOutcome } from '../targets/attempt';
import { isFramed } from '../targets/attempt';

/** A target's own failure from here on is worth another target's answer. */
const FIRST_SERVER_ERROR = 500;
/** A send with less time left than this, ms, is not worth making. */
export const LEAST_SEND_MS = 30;
/** A send is silent past this many times the service's longest answer of late: work varies by a third. */
const SILENT_TIMES = 1.3;
/**
 * With few answers the longest of them is well below the longest there are: a
 * next one exceeds the longest of ten in one of eleven cases. The wait is
 * longer by this part, divided by the answers it rests on: doubled at ten.
 */
const FEW_ANSWERS = 10;
/** Shortest wait for an answer before a repeat, ms: a few ways between any two regions. */
const SILENT_LEAST_MS = 350;
/** Longest wait before a repeat, as a part of the time left: a repeat needs some itself. */
const SILENT_MOST_PART = 0.75;

/** True when sending the request once more can't break at-most-once and may help. */
export const worthRepeating = (kind: RequestKind, outcome: AttemptOutcome): boolean => {
  if (outcome.kind === 'not-run') return true;
  if (!repeatable(kind)) return false;
  if (outcome.kind === 'lost') return outcome.reason !== 'cancelled';
  if (outcome.rest !== undefined) return false;
  // An answer without a stated length may have ended early.
  return outcome.status >= FIRST_SERVER_ERROR || !isFramed(outcome.head);
};

/**
 * How long to wait for a send's answer before a repeat is thought of, ms.
 * Connections go silent without a sign, and answers get lost; but a target
 * that is slow as it has much to do, or the object is new to it, gets no
 * better by a second send. `longest` is what is known of the service's
 * longest answers, if anything is.
 */
export const silentAfter = (leftMs: number, longest: LongestKnown | undefined): number => {
  const most = leftMs * SILENT_MOST_PART;
  if (!longest || longest.ms === 0) return most;
  const times = SILENT_TIMES + FEW_ANSWERS / longest.answers;
  return Math.min(most, Math.max(SILENT_LEAST_MS, longest.ms * times));
};
