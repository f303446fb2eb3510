/**
 * The course of a planned stop. Callers keep using their connections until a
 * directory answer without this instance has replaced the one they hold, so a
 * stop that closed at once would cut them; and work taken too late can't end
 * before the process is killed.
 *
 * - `serving`: all is taken.
 * - `leaving`: not ready, out of the directory; requests are still served,
 *   and each connection closes with its last answer.
 * - `refusing`: new requests are answered "not run, come again at once".
 */
import { BehaviorSubject } from 'rxjs';

/** Where an instance is between start and stop. */
export type Phase = 'starting' | 'serving' | 'leaving' | 'refusing';

/** Part of the grace time after which new requests are refused: those taken before have the other half to finish. */
export const REFUSE_AFTER_PART = 0.5;
/** Part of the grace time after which the process ends whatever is still open: the rest covers late timers and the last log lines. */
export const END_AFTER_PART = 0.88;

/** The instance's phase, for those that act on it. */
export const startPhase = (): BehaviorSubject<Phase> => new BehaviorSubject<Phase>('starting');
