/** A planned stop, from the signal to the moment when nothing is under way. */
import type { BehaviorSubject } from 'rxjs';
import type { Registration } from '@cardamomladder/fleet';
import { pause } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import type { CallerConnections } from '../server/callerConnections';
import type { Phase } from './phase';
import { END_AFTER_PART, REFUSE_AFTER_PART } from './phase';

/** How often the stop looks whether all is answered, ms. */
const LOOK_EVERY_MS = 50;
/** With nothing under way for this long after refusing began, the stop ends early, ms. */
const QUIET_MS = 300;

/** What a stop needs of the instance. */
export interface StopOptions {
  phase: BehaviorSubject<Phase>;
  registration: Registration | undefined;
  connections: CallerConnections;
  graceMs: number;
  log: DecisionLog;
  now: () => number;
}

/** Resolves when nothing has been under way for a while, or at `endAt`. */
const untilQuiet = async (
  { connections, now }: StopOptions,
  endAt: number,
): Promise<'quiet' | 'out-of-time'> => {
  let quietSince = now();
  while (now() < endAt) {
    if (connections.unanswered > 0) quietSince = now();
    if (now() - quietSince >= QUIET_MS) return 'quiet';
    await pause(LOOK_EVERY_MS);
  }
  return 'out-of-time';
};

/** Leaves the directory, serves on, refuses, and waits for the rest. */
export const stopGracefully = async (options: StopOptions): Promise<void> => {
  const { phase, registration, connections, graceMs, log, now } = options;
  const startedAt = now();
  phase.next('leaving');
  log.write('lifecycle', undefined, { event: 'leaving', unanswered: connections.unanswered });
  registration?.leave().catch((error: Error) => {
    log.write('registration', undefined, { event: 'leaving failed', detail: error.message });
  });
  await pause(graceMs * REFUSE_AFTER_PART);
  phase.next('refusing');
  const ended = await untilQuiet(options, startedAt + graceMs * END_AFTER_PART);
  log.write('lifecycle', undefined, {
    event: 'stopped',
    ended,
    unanswered: connections.unanswered,
    ms: Math.round(now() - startedAt),
  });
};
