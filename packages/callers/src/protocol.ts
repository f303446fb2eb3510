/**
 * The protocol between callers (caretakers' apps, kiosks) and entry
 * instances, over plain HTTP. There is no load balancer in front of the entry
 * instances: a caller gets the list from any one that it knows, caches it for
 * `ttlMs` and sends its requests to an entry instance in its own failure
 * domain.
 *
 * - `GET /v1/entries?failureDomain=rvk-a` -> `EntriesReply`
 * - `<METHOD> /s/<service>/<path>` -> the target's response, or an error
 *   response of the entry instance (`ErrorReply`) with `x-outcome` and, if a
 *   retry may succeed, `retry-after` in seconds.
 */

/** An entry instance that a caller may use. */
export interface EntryAddress {
  id: string;
  address: string;
  failureDomain: string;
  region: string;
}

/** Response to `GET /v1/entries`: entry instances in the requested failure domain come first. */
export interface EntriesReply {
  entries: EntryAddress[];
  ttlMs: number;
}

/**
 * Response header: the outcome of the request.
 * `ok`: a target responded (with any status). `not-run`: no target processed
 * the request, so a retry is safe. `unknown`: a non-idempotent request may have
 * been processed; check with the service before a retry.
 */
export const OUTCOME_HEADER = 'x-outcome';
/** Response header: the target that responded. */
export const SERVED_BY_HEADER = 'x-served-by';
/** Response header: the number of attempts that the entry instance made. */
export const ATTEMPTS_HEADER = 'x-attempts';
/** Request header: the idempotency key of a non-idempotent request; requests with the same key are the same request. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** Outcome of a request, the value of `x-outcome`. */
export type Outcome = 'ok' | 'not-run' | 'unknown';

/** Body of an error response that the entry instance itself generates. */
export interface ErrorReply {
  error: string;
  message: string;
}

/** Maximum size of a request body in bytes; bookings and arrivals are small. */
export const MAX_REQUEST_BYTES = 64 * 1024;
