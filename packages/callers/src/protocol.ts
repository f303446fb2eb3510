/**
 * The protocol between callers (caretakers' apps, kiosks) and entry
 * instances, over plain HTTP. There is no balancer in front of the entries:
 * a caller asks any entry it knows for the list, caches it for `ttlMs`, and
 * sends its requests to an entry of its own failure domain.
 *
 * - `GET /v1/entries?failureDomain=rvk-a` -> `EntriesReply`
 * - `<METHOD> /s/<service>/<path>` -> the target's answer, or a refusal
 *   (`ErrorReply`) with `x-outcome` and, where asking again makes sense,
 *   `retry-after` in seconds.
 */

/** One entry instance a caller may use. */
export interface EntryAddress {
  id: string;
  address: string;
  failureDomain: string;
  region: string;
}

/** Answer to `GET /v1/entries`: entries of the asked failure domain first. */
export interface EntriesReply {
  entries: EntryAddress[];
  ttlMs: number;
}

/**
 * Answer header: what became of the request.
 * `ok`: a target answered (any status). `not-run`: no target ran it; safe to
 * send again. `unknown`: a non-idempotent request may have run; ask the
 * service before sending it again.
 */
export const OUTCOME_HEADER = 'x-outcome';
/** Answer header: which target answered. */
export const SERVED_BY_HEADER = 'x-served-by';
/** Answer header: how many attempts the entry made. */
export const ATTEMPTS_HEADER = 'x-attempts';
/** Request header: the caller's key for a non-idempotent request; the same key means the same request. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** What became of a request, as `x-outcome` says. */
export type Outcome = 'ok' | 'not-run' | 'unknown';

/** Body of every refusal an entry makes itself. */
export interface ErrorReply {
  error: string;
  message: string;
}

/** Largest request body an entry accepts; bookings and arrivals are small. */
export const MAX_REQUEST_BYTES = 64 * 1024;
