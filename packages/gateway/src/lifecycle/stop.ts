/** Graceful shutdown, from the signal until no requests are in progress. */
import type { BehaviorSubject } from 'rxjs';
import type { Registration } from '@cardamomladder/fleet';
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import { sleep } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import { describeProgress, giveUpAtStop, refuseUnsent } from '../requests/openRequests';
import { STOPPING } from '../requests/responses';
import type { CallerConnections, UnansweredRequest } from '../server/callerConnections';
import type { Phase } from './phase';

/** Part of the grace period that is kept for late timers and the last log lines, ms. */
const END_RESERVE_MS = 200;
/** Part of it in which callers receive the last answers and close their connections, ms. */
const CLOSE_RESERVE_MS = 300;
/** Part of it, before the end of the process, in which answers go out that were made behind one that is given up, ms. */
const LAST_ANSWERS_MS = 50;
/** Each of them at most, as a fraction of the grace period. */
const MAX_RESERVE_FRACTION = 0.1;
/** Fraction of the grace period before which the shutdown does not end, even without requests: callers return until their directory responses expire. */
const MIN_LEAVING_FRACTION = 0.5;
/** Interval between checks for unanswered requests, ms. */
const POLL_INTERVAL_MS = 50;
/** If no request is in progress for this long after `MIN_LEAVING_FRACTION`, the shutdown ends early, ms. */
const QUIET_PERIOD_MS = 300;
/** Number of open requests that are logged. */
const MAX_OPEN_LOGGED = 20;

/** Dependencies of the shutdown. */
export interface StopOptions {
  phase: BehaviorSubject<Phase>;
  /** Tells the other parts until when requests are answered. */
  plannedEnd: BehaviorSubject<number>;
  /** When the signal arrived, from which the grace period counts. */
  signalledAt: number;
  registration: Registration | undefined;
  connections: CallerConnections;
  /** Closes all connections within a time in ms. */
  closeConnections: (ms: number) => Promise<void>;
  graceMs: number;
  metrics: Pick<GatewayMetrics, 'rejections'>;
  log: DecisionLog;
  now: () => number;
}

const reserve = (ms: number, graceMs: number): number =>
  Math.min(ms, graceMs * MAX_RESERVE_FRACTION);

/** When the process ends after a signal that arrived at `signalledAt`. */
const processEndsAt = ({ signalledAt, graceMs }: Pick<StopOptions, 'signalledAt' | 'graceMs'>) =>
  signalledAt + graceMs - reserve(END_RESERVE_MS, graceMs);

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

/** The requests that have only until the connections are closed, for the log: when they arrived after the signal, how long they were open, and how far they are. */
const describeOpen = ({ connections, signalledAt, now }: StopOptions) =>
  connections.unansweredRequests.slice(0, MAX_OPEN_LOGGED).map(({ id, res, arrivedAt }) => ({
    id,
    arrivedMs: Math.round(arrivedAt - signalledAt),
    openMs: Math.round(now() - arrivedAt),
    ...describeProgress(res, now()),
  }));

/** Refuses a request that no target has seen, and records that. */
const refuseAtEnd = (
  { metrics, log, now }: StopOptions,
  { id, res, arrivedAt }: UnansweredRequest,
): void => {
  if (!refuseUnsent(res)) return;
  metrics.rejections.inc({ reason: STOPPING });
  log.write('rejected', id, { reason: STOPPING, waitedMs: Math.round(now() - arrivedAt) });
};

/** Leaves the directory, serves what can be answered in the grace period until no request comes, and closes the connections. */
export const stopGracefully = async (options: StopOptions): Promise<void> => {
  const { phase, plannedEnd, signalledAt, registration, connections, graceMs, log, now } = options;
  const endsAt = processEndsAt(options) - reserve(CLOSE_RESERVE_MS, graceMs);
  plannedEnd.next(endsAt);
  phase.next('leaving');
  log.write('lifecycle', undefined, { event: 'leaving', unanswered: connections.unanswered });
  registration?.deregister().catch((error: Error) => {
    log.write('registration', undefined, { event: 'leaving failed', detail: error.message });
  });
  await sleep(Math.max(0, signalledAt + graceMs * MIN_LEAVING_FRACTION - now()));
  const ended = await waitUntilQuiet(options, endsAt);
  log.write('lifecycle', undefined, {
    event: 'stopped',
    ended,
    unanswered: connections.unanswered,
    open: describeOpen(options),
    ms: Math.round(now() - signalledAt),
  });
  connections.unansweredRequests.forEach((request) => refuseAtEnd(options, request));
  const closingAt = now();
  const closeMs = processEndsAt(options) - closingAt;
  const timer = setTimeout(
    () => connections.unansweredRequests.forEach(({ res }) => giveUpAtStop(res)),
    closeMs - LAST_ANSWERS_MS,
  );
  await options.closeConnections(closeMs);
  clearTimeout(timer);
  log.write('lifecycle', undefined, {
    event: 'connections closed',
    ms: Math.round(now() - closingAt),
  });
};
