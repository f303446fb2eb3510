/**
 * Whether, and after how long, a request is sent to another target. At most
 * once is decided here: a request that must not run twice is sent again only
 * when the send before surely did not run.
 */
import type { RequestKind } from '@cardamomladder/routing';
import { repeatable } from '@cardamomladder/routing';
import type { AttemptOutcome } from '../targets/attempt';

/** A target's own failure from here on is worth another target's answer. */
const FIRST_SERVER_ERROR = 500;
/** A send with less time left than this, ms, is not worth making. */
export const LEAST_SEND_MS = 30;
/** Part of the time left that a first send may use when a second could follow. */
const FIRST_SEND_PART = 0.6;
/** A send is silent for too long past this many times the target's usual answer time. */
const SILENT_TIMES = 5;
/** Shortest wait for an answer before a repeat, ms: over a cold answer's time. */
const SILENT_LEAST_MS = 400;

/** True when sending the request once more can't break at-most-once and may help. */
export const worthRepeating = (kind: RequestKind, outcome: AttemptOutcome): boolean => {
  if (outcome.kind === 'not-run') return true;
  if (!repeatable(kind)) return false;
  if (outcome.kind === 'lost') return outcome.reason !== 'cancelled';
  return outcome.status >= FIRST_SERVER_ERROR && outcome.rest === undefined;
};

/**
 * How long to wait for one send's answer, ms. Connections go silent without
 * a sign; waiting for the whole deadline on one would leave no time for
 * another target.
 */
export const sendTimeout = (
  kind: RequestKind,
  lastSend: boolean,
  leftMs: number,
  usualAnswerMs: number | undefined,
): number => {
  if (lastSend || !repeatable(kind)) return leftMs;
  const part = leftMs * FIRST_SEND_PART;
  if (usualAnswerMs === undefined) return part;
  return Math.min(part, Math.max(SILENT_LEAST_MS, usualAnswerMs * SILENT_TIMES));
};
