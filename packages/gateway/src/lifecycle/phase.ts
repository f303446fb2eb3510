/**
 * Phases of a graceful shutdown. Callers keep using their connections until
 * their cached directory response is replaced by one without this instance, so
 * closing connections at once would interrupt requests. Requests accepted too
 * late, on the other hand, cannot finish before the process is killed.
 *
 * - `serving`: all requests are accepted.
 * - `leaving`: not ready and removed from the directory; requests are still
 *   served, and each connection is closed after its last response.
 * - `refusing`: new requests are rejected as not run and can be retried at once.
 */
import { BehaviorSubject } from 'rxjs';

/** Lifecycle phase of an instance. */
export type Phase = 'starting' | 'serving' | 'leaving' | 'refusing';

/** Fraction of the grace period after which new requests are rejected; requests accepted before have the other half to finish. */
export const REFUSE_AFTER_FRACTION = 0.5;
/** Fraction of the grace period after which the process exits even with open requests; the rest covers late timers and the last log lines. */
export const END_AFTER_FRACTION = 0.88;

/** Creates the observable phase of an instance. */
export const createPhase = (): BehaviorSubject<Phase> => new BehaviorSubject<Phase>('starting');
