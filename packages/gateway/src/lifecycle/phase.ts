/**
 * Phases of an instance. Callers keep using their connections until their cached
 * directory response is replaced by one without this instance, so closing connections
 * at once would interrupt requests. Requests that cannot be answered before the process
 * is killed, on the other hand, are better refused.
 *
 * - `serving`: all requests are accepted.
 * - `leaving`: not ready and removed from the directory; requests that end in any case
 *   in the time that is left are served, others are rejected as not run, and each
 *   connection is closed after its last response.
 */
import { BehaviorSubject } from 'rxjs';

/** Lifecycle phase of an instance. */
export type Phase = 'starting' | 'serving' | 'leaving';

/** Creates the observable phase of an instance. */
export const createPhase = (): BehaviorSubject<Phase> => new BehaviorSubject<Phase>('starting');
