/** Graceful shutdown, from the signal until no requests are in progress. */
import type { BehaviorSubject } from 'rxjs';
import type { Registration } from '@cardamomladder/fleet';
import { sleep } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import type { CallerConnections } from '../server/callerConnections';
import type { Phase } from './phase';
import { END_AFTER_FRACTION, REFUSE_AFTER_FRACTION } from './phase';

/** Interval between checks for unanswered requests, ms. */
const POLL_INTERVAL_MS = 50;
/** If no request is in progress for this long in the `refusing` phase, the shutdown ends early, ms. */
const QUIET_PERIOD_MS = 300;
/** Number of cut requests that are logged. */
const MAX_CUT_LOGGED = 20;

/** Dependencies of the shutdown. */
export interface StopOptions {
  phase: BehaviorSubject<Phase>;
  registration: Registration | undefined;
  connections: CallerConnections;
  graceMs: number;
  log: DecisionLog;
  now: () => number;
}

/** Resolves when no request has been in progress for the quiet period, or at `endAt`. */
const waitUntilQuiet = async (
  { connections, now }: StopOptions,
  endAt: number,
): Promise<'quiet' | 'out-of-time'> => {
  let quietSince = now();
  while (now() < endAt) {
    if (connections.unanswered > 0) quietSince = now();
    if (now() - quietSince >= QUIET_PERIOD_MS) return 'quiet';
    await sleep(POLL_INTERVAL_MS);
  }
  return 'out-of-time';
};

/** The requests that end with the process, for the log: when they arrived after the signal, and how long they were open. */
const describeCut = ({ connections, now }: StopOptions, signalledAt: number) =>
  connections.unansweredRequests.slice(0, MAX_CUT_LOGGED).map(({ id, arrivedAt }) => ({
    id,
    arrivedMs: Math.round(arrivedAt - signalledAt),
    openMs: Math.round(now() - arrivedAt),
  }));

/** Leaves the directory, keeps serving for a time, then rejects new requests and waits for the rest to finish. */
export const stopGracefully = async (options: StopOptions): Promise<void> => {
  const { phase, registration, connections, graceMs, log, now } = options;
  const startedAt = now();
  phase.next('leaving');
  log.write('lifecycle', undefined, { event: 'leaving', unanswered: connections.unanswered });
  registration?.deregister().catch((error: Error) => {
    log.write('registration', undefined, { event: 'leaving failed', detail: error.message });
  });
  await sleep(graceMs * REFUSE_AFTER_FRACTION);
  phase.next('refusing');
  const ended = await waitUntilQuiet(options, startedAt + graceMs * END_AFTER_FRACTION);
  log.write('lifecycle', undefined, {
    event: 'stopped',
    ended,
    unanswered: connections.unanswered,
    cut: describeCut(options, startedAt),
    ms: Math.round(now() - startedAt),
  });
};
