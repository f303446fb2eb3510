/**
 * Whether, and after how long, a request is sent to another target. At most
 * once is decided here: a request that must not run twice is sent again only
 * when the send before surely did not run.
 */
import type { RequestKind } from '@cardamomladder/routing';
import { repeatable } from '@cardamomladder/routing';
import type { LongestKnown } from '@cardamomladder/steering';
import { overdueAfter } from '@cardamomladder/steering';
import type { AttemptOutcome } from '../targets/attempt';
import { isFramed } from '../targets/attempt';

/** A target's own failure from here on is worth another target's answer. */
export const FIRST_SERVER_ERROR = 500;
/** A send with less time left than this, ms, is not worth making. */
export const MIN_SEND_TIME_MS = 30;
/** True when sending the request once more can't break at-most-once and may help. */
export const shouldRetry = (kind: RequestKind, outcome: AttemptOutcome): boolean => {
  if (outcome.kind === 'not-run') return true;
  if (!repeatable(kind)) return false;
  if (outcome.kind === 'lost') return outcome.reason !== 'cancelled';
  if (outcome.remaining !== undefined) return false;
  // An answer without a stated length may have ended early.
  return outcome.status >= FIRST_SERVER_ERROR || !isFramed(outcome.head);
};

/** The longest answers of late that tell whether a send is silent, and whether a repeat can still be answered. */
export interface ExpectedLatency {
  /** Of sends like this one: to targets that remember the object, or to which it is new. */
  send: LongestKnown;
  /** Of sends like the repeat, to whose target the object is most likely new. */
  retry: LongestKnown;
}

/**
 * How long to wait for a send's answer before a repeat is thought of, ms;
 * undefined: it is waited for to the end. Connections go silent without a
 * sign, and answers get lost; but a target that is slow as it has much to do,
 * or the object is new to it, gets no better by a second send. A repeat that
 * could not be answered in time only takes the first send's answer away.
 */
export const retryTimeoutMs = (leftMs: number, longest: ExpectedLatency): number | undefined => {
  const { send, retry } = longest;
  const waitMs = overdueAfter(send);
  if (waitMs === undefined) return undefined;
  return waitMs + Math.max(retry.ms, send.ms) <= leftMs ? waitMs : undefined;
};
