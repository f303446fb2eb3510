/**
 * Forwards one caller request: selects a target, sends the request, retries it
 * where that is safe, and returns one final response to the caller:
 *
 * - A non-idempotent request (booking, arrival) is retried only if the previous
 *   attempt provably did not run (no connection, or the target responded with
 *   `x-not-run`). Any other failure ends in `x-outcome: unknown` without a retry.
 * - Non-idempotent requests use a new connection. A middlebox may have dropped
 *   the state of a pooled connection; a request written to it is lost, and the
 *   entry cannot tell whether it ran. A completed handshake proves that the path
 *   works, at a cost of about 1 ms.
 * - The outcome is "not-run" only if no attempt may have run.
 * - A request that is given up gets its response at once. It carries
 *   `retry-after` if the request may be sent again.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Span } from '@opentelemetry/api';
import type { Outcome } from '@cardamomladder/callers';
import type { ServiceSteering } from '@cardamomladder/steering';
import type { NotRunReason } from '@cardamomladder/targets';
import type { EntryMetrics } from '@cardamomladder/telemetry';
import type { TargetId } from '@cardamomladder/types';
import type { DedupCache } from '../state/dedup';
import type { RetryBudget } from '../state/retryBudget';
import { admit } from './admission';
import type { ForwardedRequest } from './attempt';
import { attemptRequest } from './attempt';
import { notRunMessages, sendError } from './errorResponse';
import { relayResponse } from './relayResponse';

/** Dependencies provided by the daemon. */
export interface ForwardingContext {
  metrics: EntryMetrics;
  dedup: DedupCache;
  budget: RetryBudget;
  random: () => number;
  connectTimeoutMs: number;
}

/** No attempt is made with less time than this before the deadline, in ms. */
const MIN_ATTEMPT_MS = 5;
/** Used for `retry-after` if neither the target nor the steering gave a delay, in ms. */
const DEFAULT_RETRY_AFTER_MS = 1000;

/** Combined result of all attempts of a request. */
type AttemptsOutcome =
  | { kind: 'answered' }
  | { kind: 'maybe-ran' }
  | { kind: 'not-run'; reason: NotRunReason; retryAfterMs: number | undefined };

/** Tries targets until one responds or no further attempt is allowed. */
const sendWithRetries = async (
  request: ForwardedRequest,
  res: ServerResponse,
  ctx: ForwardingContext,
): Promise<AttemptsOutcome> => {
  const { steering, deadlineAt, signal, key } = request;
  const { name: service, idempotent, maxAttempts } = steering.settings;
  const triedTargets = new Set<TargetId>();
  let maybeRan = false;
  let reason: NotRunReason = 'no-target';
  let retryAfterMs: number | undefined;
  for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
    if (deadlineAt - Date.now() < MIN_ATTEMPT_MS || signal.aborted) break;
    if (attempt > 1 && !ctx.budget.tryWithdraw()) break;
    const choice = steering.choose(Date.now(), ctx.random, triedTargets);
    if (choice.kind === 'refused') {
      ({ reason, retryAfterMs } = choice);
      break;
    }
    const { target } = choice;
    triedTargets.add(target.id);
    if (attempt > 1) ctx.metrics.retries.inc({ service });
    const { result, done } = await attemptRequest(request, target, attempt, ctx);
    if (result.kind === 'answer') {
      await relayResponse(res, result, target, attempt, key, ctx.dedup);
      done();
      request.span.setAttribute('target', target.id);
      return { kind: 'answered' };
    }
    done();
    if (result.kind === 'not-run') {
      reason = result.reason;
      retryAfterMs = result.retryAfterMs ?? retryAfterMs;
    } else {
      maybeRan = true;
      if (!idempotent) break;
    }
  }
  return maybeRan ? { kind: 'maybe-ran' } : { kind: 'not-run', reason, retryAfterMs };
};

/** Sends the final response for a request that a target may have run. */
const sendUnknownOutcome = (
  { steering, key }: ForwardedRequest,
  res: ServerResponse,
  ctx: ForwardingContext,
): Outcome => {
  const { name: service, idempotent } = steering.settings;
  if (key) ctx.dedup.markUnknown(key);
  if (!idempotent) ctx.metrics.outcomeUnknown.inc({ service });
  const message = idempotent
    ? 'no target answered in time; the request may be sent again'
    : 'the target may have run this request but did not answer; check with the service before sending it again';
  sendError(
    res,
    504,
    'unknown',
    'outcome-unknown',
    message,
    idempotent ? DEFAULT_RETRY_AFTER_MS : undefined,
  );
  return 'unknown';
};

/** Sends the final response for a request that no target ran. */
const sendNotRun = (
  { steering, key, deadlineAt }: ForwardedRequest,
  res: ServerResponse,
  { reason, retryAfterMs = DEFAULT_RETRY_AFTER_MS }: Extract<AttemptsOutcome, { kind: 'not-run' }>,
  ctx: ForwardingContext,
): Outcome => {
  if (key) ctx.dedup.release(key);
  ctx.metrics.notRun.inc({ service: steering.settings.name, reason });
  const message = `not run: ${notRunMessages[reason]}; send it again after the retry-after time`;
  if (deadlineAt - Date.now() < MIN_ATTEMPT_MS)
    sendError(res, 504, 'not-run', 'deadline-exceeded', message, retryAfterMs);
  else sendError(res, 503, 'not-run', 'not-run', message, retryAfterMs);
  return 'not-run';
};

/** Forwards a caller request to the service of `steering` and returns the outcome. */
export const forwardRequest = async (
  req: IncomingMessage,
  res: ServerResponse,
  steering: ServiceSteering,
  path: string,
  ctx: ForwardingContext,
  span: Span,
): Promise<Outcome> => {
  const { idempotent, deadlineMs } = steering.settings;
  const deadlineAt = Date.now() + deadlineMs;
  const admission = await admit(req, res, idempotent, ctx.dedup);
  if (admission.kind === 'answered') return admission.outcome;
  const { body, key } = admission;
  const abortController = new AbortController();
  res.on('close', () => {
    if (!res.writableFinished) abortController.abort();
  });
  ctx.budget.deposit();
  const request = {
    req,
    steering,
    path,
    body,
    key,
    deadlineAt,
    signal: abortController.signal,
    span,
  };
  const attempts = await sendWithRetries(request, res, ctx);
  if (attempts.kind === 'answered') return 'ok';
  if (attempts.kind === 'maybe-ran') return sendUnknownOutcome(request, res, ctx);
  return sendNotRun(request, res, attempts, ctx);
};
