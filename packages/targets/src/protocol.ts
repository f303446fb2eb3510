/**
 * Headers between entries and targets. Targets are the services' own back
 * ends; these are the conventions the brief says they accept: deadlines,
 * cancellation (closing the connection), load reports, and an explicit word
 * when a request was refused before any work started.
 */

/** Request: milliseconds the target has left to answer; it should not start work it cannot finish. */
export const DEADLINE_HEADER = 'x-deadline-ms';
/** Request: the caller's idempotency key, passed through for non-idempotent services. */
export const REQUEST_KEY_HEADER = 'x-request-key';
/** Answer: the target's busy slots when it answered. */
export const LOAD_HEADER = 'x-load';
/** Answer (503): the request was refused before any work started, with the reason. */
export const NOT_RUN_HEADER = 'x-not-run';

/** Why a target refused a request before running it. */
export type NotRunReason =
  'draining' | 'shed' | 'deadline' | 'connect-failed' | 'no-target' | 'region-full' | 'store';

/** Answer to a target's `GET /load`: busy slots, slots, state (may lag or lie). */
export interface LoadReply {
  inflight: number;
  slots: number;
  state: 'live' | 'leaving';
  at: number;
}

/** Body of `POST /admin/faults` on the target stand-in. */
export interface TargetFaults {
  /** Load endpoint reports idle and healthy whatever the truth. */
  lie?: boolean;
  /** Accept connections and requests but never answer, as a silent path does. */
  silent?: boolean;
  /** Do the work, then drop the connection instead of answering: the reply is lost. */
  resetAfterWork?: boolean;
}
