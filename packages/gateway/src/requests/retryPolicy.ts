/**
 * Decides whether and after what time a request is retried on another target.
 * At-most-once execution is enforced here: a non-idempotent request is retried
 * only if the previous send is known not to have run.
 */
import { isFramed } from '@cardamomladder/http-json';
import type { RequestKind } from '@cardamomladder/routing';
import { isIdempotent } from '@cardamomladder/routing';
import type { PeakEstimate } from '@cardamomladder/steering';
import { overdueAfterMs } from '@cardamomladder/steering';
import type { AttemptOutcome } from '../targets/attempt';
import { isAborted } from '../targets/attempt';

/** From this status on, a response is an error of the target, so the response of another target may be better. */
export const FIRST_SERVER_ERROR = 500;
/** Minimum time left before the deadline for a retry, ms. */
export const MIN_SEND_TIME_MS = 30;
/** True if a retry may help and can't break at-most-once execution. */
export const shouldRetry = (
  kind: RequestKind,
  outcome: AttemptOutcome,
  method = 'GET',
): boolean => {
  if (outcome.kind === 'not-run') return true;
  if (!isIdempotent(kind)) return false;
  if (outcome.kind === 'lost') return !isAborted(outcome.reason);
  if (outcome.remaining !== undefined) return false;
  // A response without framing may be truncated.
  return outcome.status >= FIRST_SERVER_ERROR || !isFramed(outcome.head, method);
};

/** The longest recent response times, which determine a send's timeout and whether a retry can finish in time. */
export interface ExpectedLatency {
  /** Of sends of the same kind: to targets that have the object cached, or to those that don't. */
  send: PeakEstimate;
  /** Of sends like the retry, whose target most likely doesn't have the object cached. */
  retry: PeakEstimate;
}

/**
 * How long to wait for a send's response before a retry is considered, ms;
 * undefined to wait until the deadline. Connections can stall and responses can
 * get lost without an error, but a retry doesn't help if the target is merely
 * overloaded or has to load the object first. A retry that can't finish before
 * the deadline would only discard the first send's response.
 */
export const retryTimeoutMs = (leftMs: number, longest: ExpectedLatency): number | undefined => {
  const { send, retry } = longest;
  const waitMs = overdueAfterMs(send);
  if (waitMs === undefined) return undefined;
  return waitMs + Math.max(retry.ms, send.ms) <= leftMs ? waitMs : undefined;
};
