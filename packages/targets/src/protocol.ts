/**
 * HTTP headers exchanged between entry instances and targets, the back ends of
 * the services. They carry deadlines, load reports and an explicit signal that
 * a request was rejected before any work started. A request is cancelled by
 * closing the connection.
 */

/** Request: milliseconds left to respond; a target should not start work that it cannot finish in time. */
export const DEADLINE_HEADER = 'x-deadline-ms';
/** Request: the caller's idempotency key, passed through for non-idempotent services. */
export const REQUEST_KEY_HEADER = 'x-request-key';
/** Response: the number of busy slots of the target when it responded. */
export const LOAD_HEADER = 'x-load';
/** Response (503): the reason why the request was rejected before any work started. */
export const NOT_RUN_HEADER = 'x-not-run';

/** Why a request was rejected before a target processed it. */
export type NotRunReason =
  'draining' | 'shed' | 'deadline' | 'connect-failed' | 'no-target' | 'region-full' | 'store';

/** Response to a target's `GET /load`; the values may be stale or wrong. */
export interface LoadReply {
  inflight: number;
  slots: number;
  state: 'live' | 'leaving';
  at: number;
}

/** Body of `POST /admin/faults` on the target stand-in. */
export interface TargetFaults {
  /** The load and health endpoints always report an idle, healthy target. */
  lie?: boolean;
  /** Accept connections and requests but never respond, as on a network path that drops packets. */
  silent?: boolean;
  /** Process the request, then drop the connection, so that the response is lost. */
  resetAfterWork?: boolean;
}
