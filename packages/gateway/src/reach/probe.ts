/** Probes targets with health checks over new connections. */
import type { ClientRequest } from 'node:http';
import { request as httpRequest } from 'node:http';
import { Result } from 'neverthrow';
import { PacedAgent, discardRest } from '@cardamomladder/http-json';
import type { ProbeResult } from './reachMonitor';

/** Response timeout of a probe, ms: more than two trips between any two regions and a short queue. */
export const PROBE_TIMEOUT_MS = 250;
/** A timer that fires this much too late shows that the process was too busy to read a response in time, ms. */
const MAX_TIMER_DELAY_MS = 100;

/** Where a target's health check is. */
export interface ProbedTarget {
  host: string;
  port: number;
  healthPath: string;
}

/** Creates a health check over a new connection; fails if Node.js refuses a part of it. */
export const openHealthCheck = Result.fromThrowable(
  ({ host, port, healthPath }: ProbedTarget, signal: AbortSignal): ClientRequest =>
    httpRequest({ host, port, path: healthPath, agent: new PacedAgent(), signal }),
  (error) => error as Error,
);

/** Sends one health check; any response, also a failure, shows that the target is reached. */
const isAnswered = (req: ClientRequest): Promise<boolean> =>
  new Promise((resolve) => {
    req.on('response', (res) => {
      discardRest(res);
      resolve(true);
    });
    req.on('error', () => resolve(false));
    req.end();
  });

/** Resolves after `ms` and pending I/O; `late` if the process was too busy meanwhile. */
const timeout = (ms: number, now: () => number): Promise<'on time' | 'late'> => {
  const dueAt = now() + ms;
  return new Promise((resolve) => {
    setTimeout(
      () => setImmediate(() => resolve(now() - dueAt > MAX_TIMER_DELAY_MS ? 'late' : 'on time')),
      ms,
    );
  });
};

/** Probes all given targets at once; resolves at the first answer, when all connections have failed, or after the timeout. */
export const probeTargets = async (
  targets: readonly ProbedTarget[],
  now: () => number,
): Promise<ProbeResult> => {
  const abort = new AbortController();
  const checks = targets
    .map((target) => openHealthCheck(target, abort.signal))
    .filter((opened) => opened.isOk());
  // A check that can't be sent shows nothing about the links.
  if (checks.length === 0) return 'unknown';
  const answers = checks.map(({ value }) => isAnswered(value));
  const firstAnswer = Promise.any(
    answers.map(async (answer) => ((await answer) ? true : Promise.reject())),
  ).then(
    () => 'answered' as const,
    () => 'silent' as const,
  );
  const expired = timeout(PROBE_TIMEOUT_MS, now).then((end) =>
    end === 'late' ? ('unknown' as const) : ('silent' as const),
  );
  const result = await Promise.race([firstAnswer, expired]);
  abort.abort();
  return result;
};
